# A router dies and finds a copy of its state that was put back; another finds none, a third one that is cut short, a fourth a spoilt one.
title    = "Replication: old-copy"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

state "backup" {
  router = 1
  at     = 14
}
restart "put-back" {
  router = 1
  kind   = "kill"
  state  = "older"
  back   = 1
  at     = 26
}
restart "lost" {
  router = 2
  kind   = "kill"
  state  = "lost"
  back   = 1
  at     = 34
}
restart "cut-short" {
  router = 3
  kind   = "kill"
  state  = "cut"
  back   = 1
  at     = 40
}
restart "spoilt" {
  router = 4
  kind   = "kill"
  state  = "spoilt"
  back   = 1
  at     = 46
}
