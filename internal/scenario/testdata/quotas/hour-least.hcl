# Three levels: organisations, teams, classes.
quotas {
  grace_s = 10
  organisation "kenya" {
    guarantee { accelerators = 24 }
    limit { accelerators = 56 }
    weight = 2
    team "storefront" {
      class "lens" {
        guarantee { accelerators = 4 }
        limit { accelerators = 12 }
      }
      class "tags" {}
    }
    team "pricing" {
      class "sweep" {
        limit { accelerators = 6 }
      }
      class "audit" {
        guarantee { accelerators = 2 }
        borrow = false
        lend = false
      }
    }
  }
  organisation "italia" {
    guarantee { accelerators = 16 }
    limit { accelerators = 18 }
    team "stazioni" {}
    team "modelli" { weight = 3 }
  }
}
