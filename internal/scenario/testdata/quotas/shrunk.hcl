# Kenya has less than what may run by then.
quotas {
  grace_s = 20
  organisation "kenya" {
    limit { accelerators = 8 }
    team "storefront" {}
    team "pricing" {}
  }
  organisation "italia" {
    guarantee { accelerators = 8 }
    team "stazioni" {}
  }
}
