# To try the release calendar by hand (docs/calendar.md): EXPORT, PRICES and the times
# between are put in by the commands there.
calendar {
  revision = 1
  zone     = "UTC"
  track "markets" {
    window "export-orders" {
      team    = "storefront"
      classes = ["export-order"]
      start   = "EXPORT"
      rule    = "FREQ=DAILY"
      length  = "2m"
      slip    = "30s"
      at_end  = "stop"
    }
    window "weekend-pricing" {
      team    = "pricing"
      classes = ["price-sweep"]
      start   = "PRICES"
      rule    = "FREQ=DAILY"
      length  = "10m"
      slip    = "5m"
      missed  = "run"
      late    = "1h"
    }
  }
}
