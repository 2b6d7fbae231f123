# Turns pipeline files on: harrierreel serve --config FILE --operator deploy/pipelines.hcl
# (or HARRIERREEL_OPERATOR=deploy/pipelines.hcl). See docs/pipelines.md.
pipelines {
  # Runs live at once, and their steps that have not ended, on all controllers;
  # more are refused with Retry-After.
  most_runs = 2000
  most_steps = 20000
  # Share of a controller's changes of the state service that runs may take,
  # after what the rules need.
  changes_share = 0.3
}
