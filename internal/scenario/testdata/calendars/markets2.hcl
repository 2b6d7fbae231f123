# The next revision: pricing's other work is on the track as well, in a window of its own,
# and the weekend's is an hour later.
calendar {
  revision = 2
  zone     = "UTC"
  track "markets" {
    window "export" {
      team    = "shop"
      classes = ["export"]
      start   = "2030-01-01T00:01"
      rule    = "FREQ=DAILY"
      length  = "2m"
      slip    = "60s"
      at_end  = "stop"
    }
    window "other" {
      team    = "prices"
      classes = ["other"]
      start   = "2030-01-01T00:05"
      rule    = "FREQ=DAILY"
      length  = "2m"
    }
    window "weekend" {
      team    = "prices"
      classes = ["weekend"]
      start   = "2030-01-01T01:03"
      rule    = "FREQ=DAILY"
      length  = "5m"
    }
  }
}
