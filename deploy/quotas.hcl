# Turns the tree of quotas on: harrierreel serve --config FILE --operator deploy/quotas.hcl
# It is the tree that the first leader puts in force; later ones come by
# `harrierreel quota apply FILE`. The platform's teams keep their guarantees and
# limits; those that are not named here stand by themselves. See docs/quotas.md.
quotas {
  # For so long after a change of the tree, what is over a lowered limit may end by
  # itself.
  grace_s = 60

  # organisation "kenya" {
  #   weight = 2
  #   guarantee { accelerators = 24 }
  #   limit { accelerators = 56 }
  #   team "storefront" {
  #     class "listing-lens" {
  #       guarantee { accelerators = 4 }
  #     }
  #   }
  #   team "pricing" {}
  # }
}
