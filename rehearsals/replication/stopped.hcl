# One router stands still for ten seconds and goes on; another ends and comes back a while later.
title    = "Replication: stopped"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

stop "still" {
  router = 1
  for    = 10
  at     = 16
}
restart "away" {
  router = 2
  kind   = "term"
  back   = 10
  at     = 20
}
