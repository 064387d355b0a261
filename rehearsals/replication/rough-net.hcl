# Links between routers are slow and cut one way, again and again; one router is killed in the midst of it.
title    = "Replication: rough-net"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

link "slow" {
  from      = "router:*"
  to        = "router:*"
  kind      = "delay"
  delay_ms  = 150
  jitter_ms = 100
  at        = 12
  for       = 30
}
link "one-way" {
  from    = "router:0"
  to      = "router:1-4"
  one_way = true
  kind    = "cut"
  at      = 20
  for     = 4
}
link "again" {
  from    = "router:2"
  to      = "router:0-1"
  one_way = true
  kind    = "cut"
  at      = 30
  for     = 4
}
restart "killed" {
  router = 3
  kind   = "kill"
  back   = 1
  at     = 36
}
