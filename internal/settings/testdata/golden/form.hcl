scaler {
  speed      = 1
  plan_steps = "many"
}
drain "x" {
}
members {
  ttl_s = [1]
}
standby {
  follow_cloud = "perhaps"
}
quotas {
  team {
  }
}
calendar {
  track "k" {
    window "w" {
    }
  }
}
nonsense {
}
