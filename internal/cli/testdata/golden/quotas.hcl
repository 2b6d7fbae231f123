quotas {
  grace_s = 45
  organisation "kenya" {
    weight = 2
    borrow = true
    lend   = true
    guarantee {
      cores        = 20
      accelerators = 5
      memory_gb    = 100
    }
    limit {
      cores        = 60
      accelerators = 7
      memory_gb    = 300
    }
    organisation "nairobi" {
      weight = 1.5
    }
    team "storefront" {
      weight = 3
      borrow = true
      lend   = true
      class "export-order" {
        weight = 4
        borrow = true
        lend   = true
        guarantee {
          cores        = 3
          accelerators = 1
          memory_gb    = 12
        }
        limit {
          cores        = 9
          accelerators = 2
          memory_gb    = 36
        }
      }
    }
  }
  team "pricing" {
    weight = 1.25
    borrow = true
    lend   = true
    class "price-sweep" {
      weight = 5
      borrow = true
      lend   = true
      guarantee {
        cores = 2
      }
      limit {
        cores = 6
      }
    }
  }
}
