# Two organisations that share the machines.
quotas {
  grace_s = 20
  organisation "kenya" {
    guarantee { accelerators = 8 }
    limit { accelerators = 16 }
    team "storefront" {
      class "lens" {
        guarantee { accelerators = 2 }
        limit { accelerators = 6 }
      }
    }
    team "pricing" { weight = 2 }
  }
  organisation "italia" {
    guarantee { accelerators = 8 }
    team "stazioni" {}
  }
}
