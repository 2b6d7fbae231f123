# The same, guaranteed more.
quotas {
  grace_s = 20
  organisation "work" {
    guarantee { accelerators = 400 }
    team "train" {}
  }
}
