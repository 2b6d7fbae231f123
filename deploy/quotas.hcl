# Turns the tree of quotas on: harrierreel serve --config FILE --operator deploy/quotas.hcl
# It is the tree that the first leader puts in force; later ones come by
# `harrierreel quota apply FILE`. The platform's teams keep their guarantees and
# limits; those that are not named here stand by themselves. See docs/quotas.md.
quotas {
  grace_s = 60
}
