# Turns lending of GPUs to serving on: harrierreel serve --config FILE --operator deploy/lending.hcl
# (docs/lending.md).
lending {
  # Where nobody can lend within the guarantees, work of lower rank makes way as without
  # lending. false: services get only what others have beyond their guarantees, and their
  # own team's work of lower rank.
  by_rank = true
  # A job lends once in so many seconds, a sweep up to a quarter of its tasks.
  again_s = 300
}
