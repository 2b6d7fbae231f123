# What runs at an end runs on; the next window may slip by 30 s and is left out then, the
# one after it is run late.
calendar {
  revision = 1
  zone     = "UTC"
  track "markets" {
    window "export" {
      team    = "shop"
      classes = ["export"]
      start   = "2030-01-01T00:01"
      rule    = "FREQ=DAILY"
      length  = "1m"
    }
    window "weekend" {
      team    = "prices"
      classes = ["weekend"]
      start   = "2030-01-01T00:02"
      rule    = "FREQ=DAILY"
      length  = "2m"
      slip    = "30s"
    }
    window "match" {
      team    = "prices"
      classes = ["match"]
      start   = "2030-01-01T00:04"
      rule    = "FREQ=DAILY"
      length  = "2m"
      slip    = "20s"
      missed  = "run"
      late    = "1h"
    }
  }
}
