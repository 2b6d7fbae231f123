# Training by itself.
quotas {
  grace_s = 20
  organisation "work" {
    team "train" {}
  }
}
