# Routers fall into two and three; a primary dies and another leads meanwhile; then they come together again.
title    = "Replication: split"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

partition "split" {
  sides = ["router:0-1", "router:2-4"]
  at    = 16
  for   = 16
}
fault "primary" {
  kind = "crash"
  on   = "primary:1"
  at   = 22
  for  = 6
}
