# Sixteen fall into halves and come together again; then one is killed for good.
title   = "Members: sixteen"
seconds = 80
quick   = 40
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

routers {
  count     = 16
  memory_mb = 64
  sockets   = 256
  apart_ms  = 100
  members   = true
  share     = true
}
partition "split" {
  sides = ["router:0-7", "router:8-15"]
  at    = 20
  for   = 16
}
restart "dies" {
  router = 9
  kind   = "kill"
  back   = 20
  at     = 60
}
