# Two windows of one track, one right after the other, from a minute after the start.
calendar {
  revision = 1
  zone     = "UTC"
  track "markets" {
    window "export" {
      team    = "shop"
      classes = ["export"]
      start   = "2030-01-01T00:01"
      rule    = "FREQ=DAILY"
      length  = "2m"
      slip    = "30s"
      at_end  = "stop"
    }
    window "weekend" {
      team    = "prices"
      classes = ["weekend"]
      start   = "2030-01-01T00:03"
      rule    = "FREQ=DAILY"
      length  = "5m"
      slip    = "3m"
      missed  = "run"
      late    = "2h"
    }
  }
}
