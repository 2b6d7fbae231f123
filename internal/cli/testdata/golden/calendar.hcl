calendar {
  revision = 3
  zone     = "Africa/Nairobi"
  track "markets" {
    window "export-orders" {
      team    = "shop"
      classes = ["export"]
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
      team    = "prices"
      classes = ["weekend", "match"]
      start   = "2026-01-10T10:00"
      rule    = "FREQ=WEEKLY;BYDAY=SA,SU"
      until   = "15:00"
      at_end  = "finish"
      missed  = "skip"
    }
  }
}
