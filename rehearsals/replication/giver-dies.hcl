# A router that lost its state is told by others, of which two die while they tell.
title    = "Replication: giver-dies"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

restart "returns" {
  router = 1
  kind   = "kill"
  state  = "lost"
  back   = 1
  at     = 24
}
restart "giver" {
  router  = 2
  kind    = "kill"
  back    = 2
  when    = "begins:returns"
  plus_ms = 1300
}
restart "other-giver" {
  router  = 3
  kind    = "kill"
  back    = 2
  when    = "begins:returns"
  plus_ms = 1400
}
