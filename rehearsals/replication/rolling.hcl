# One after the other is told to end and comes back: what each knew is handed to the next life.
title    = "Replication: rolling"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

restart "release" {
  share  = 1
  kind   = "term"
  back   = 0.5
  spread = 20
  at     = 16
}
