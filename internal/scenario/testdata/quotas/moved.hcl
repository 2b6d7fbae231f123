# Pricing belongs to Italia now.
quotas {
  grace_s = 20
  organisation "kenya" {
    limit { accelerators = 16 }
    team "storefront" {}
  }
  organisation "italia" {
    guarantee { accelerators = 8 }
    limit { accelerators = 10 }
    team "stazioni" {}
    team "pricing" {}
  }
}
