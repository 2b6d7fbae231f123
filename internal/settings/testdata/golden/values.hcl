scaler {
  step_s      = 0.5
  plan_steps  = 0
  samples     = 0
  tolerance   = 2
  trend_steps = 2
  fresh_steps = -1
}
drain {
  steps        = 0
  revive_steps = 101
}
members {
  ttl_s = 0
}
users {
  final_cache = 1
}
standby {
  take_over = "never"
}
records {
  packs = "often"
}
lending {
  again_s = 5
}
pipelines {
  most_runs     = 0
  most_steps    = 0
  changes_share = 2
}
quotas {
  grace_s = -1
  team "nobody" {}
}
calendar {
  revision = 0
  zone     = "Nowhere"
  track "1st" {
    window "w" {
      team    = "nobody"
      classes = []
      start   = "today"
      rule    = "often"
      length  = "1s"
      slip    = "x"
      at_end  = "never"
      missed  = "never"
    }
  }
}
