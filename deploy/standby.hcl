# How the lead passes on (docs/standby.md). These are the defaults, but for follow_cloud.
standby {
  take_over    = "calls" # or "lease": only when a controller's lease has ended
  follow_cloud = true    # those that are to follow the leader read the cloud's list, too
}
