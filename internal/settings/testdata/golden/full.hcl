scaler {
  step_s      = 12.5
  plan_steps  = 7
  samples     = 150
  tolerance   = 0.07
  trend_steps = 9
  fresh_steps = 3
}
drain {
  steps        = 6
  revive_steps = 2
}
members {
  ttl_s = 7
}
users {
  final_cache = 12345
}
standby {
  take_over    = "lease"
  follow_cloud = true
}
records {
  packs = "always"
}
lending {
  by_rank = true
  again_s = 450
}
pipelines {
  most_runs     = 300
  most_steps    = 4000
  changes_share = 0.25
}
quotas {
  grace_s = 45
  organisation "kenya" {
    weight = 2
    borrow = true
    lend   = true
    guarantee {
      cores        = 20
      accelerators = 5
      memory_gb    = 100
    }
    limit {
      cores        = 60
      accelerators = 7
      memory_gb    = 300
    }
    organisation "nairobi" {
      weight = 1.5
    }
    team "storefront" {
      weight = 3
      borrow = true
      lend   = true
      class "export-order" {
        weight = 4
        borrow = true
        lend   = true
        guarantee {
          cores        = 3
          accelerators = 1
          memory_gb    = 12
        }
        limit {
          cores        = 9
          accelerators = 2
          memory_gb    = 36
        }
      }
    }
  }
  team "pricing" {
    weight = 1.25
    borrow = true
    lend   = true
    class "price-sweep" {
      weight = 5
      borrow = true
      lend   = true
      guarantee {
        cores = 2
      }
      limit {
        cores = 6
      }
    }
  }
}
calendar {
  revision = 3
  zone     = "Africa/Nairobi"
  track "markets" {
    window "export-orders" {
      team    = "storefront"
      classes = ["export-order"]
      zone    = "Europe/Rome"
      start   = "2026-01-05T22:00"
      rule    = "FREQ=DAILY"
      length  = "3h"
      slip    = "20m"
      at_end  = "stop"
      missed  = "run"
      late    = "4h"
      need {
        cores        = 10
        accelerators = 2
        memory_gb    = 50
      }
    }
    window "weekend-pricing" {
      team    = "pricing"
      classes = ["price-sweep"]
      start   = "2026-01-10T10:00"
      rule    = "FREQ=WEEKLY;BYDAY=SA,SU"
      until   = "15:00"
      at_end  = "finish"
      missed  = "skip"
    }
  }
}
