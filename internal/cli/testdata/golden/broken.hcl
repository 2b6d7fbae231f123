quotas {
  team {}
  speed = 1
}
