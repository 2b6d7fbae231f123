# Two windows of a team on one track, from a minute after the start and from five minutes
# after it, and one of another's between them.
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
      length  = "2m"
      slip    = "60s"
      at_end  = "stop"
    }
    window "again" {
      team    = "shop"
      classes = ["export"]
      start   = "2030-01-01T00:05"
      rule    = "FREQ=DAILY"
      length  = "3m"
      slip    = "30s"
      at_end  = "stop"
    }
  }
}
