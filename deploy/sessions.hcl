# Our own file, given by `sandstile serve --config FILE` and checked by `sandstile check --config FILE`. Not used on
# the platform of deploy/balancer.toml, which has no disk that lasts and no talk between instances.
sessions {
  # Tokens that clients carry; keys in a file that only its owner may read.
  keys          = "/etc/sandstile/keys"
  token_lasts_s = 86400
  skew_ms       = 1000

  # Replicas lag by no more than this; older marks bind nobody.
  replicas_lag_at_most_s = 300

  # Own reads that carry no mark: the primary, or as-before while clients learn to carry them.
  without_mark = "primary"

  # Memory: exact marks, and cells in each of four rows of a sketch behind them.
  remembered   = 65536
  sketch_cells = 262144

  # Marks on a disk: before-answer, every (with every_ms), none.
  journal    = "/var/lib/sandstile/marks"
  durability = "before-answer"

  # true only where the front keeps each session with one router for as long as that lives.
  sessions_stay = false

  # Other instances, each of which tells the others what it knows. Needs keys.
  # exchange {
  #   listen = "10.0.0.4:7432"
  #   peers  = ["10.0.0.5:7432", "10.0.0.6:7432"]
  # }

  # State that instances keep together, over the exchange (docs/replication.md). Takes the journal's place; the witness lies in
  # no backup that holds the folder. learn_together: probes for lost primaries are shared, hosts that refused another are spared
  # (docs/duties.md).
  # state {
  #   dir            = "/var/lib/sandstile/state"
  #   witness        = "/var/lib/sandstile-witness/state"
  #   control        = "/run/sandstile/state.sock"
  #   learn_together = false
  # }
}

# Who asked what kind of thing when, for models and rehearsals; no literal, no name of a session. The recording ends at
# its most, and is never written over.
# recording {
#   file    = "/var/lib/sandstile/evening.rec"
#   most_mb = 256
# }

# Storms of clients that come again: later tries (marked r=1) come in as a share of the first tries that complete, and what is
# turned away is told a time of its own to come back.
# limits {
#   later_tries        = 0.2
#   false_alarms_a_day = 0.1
#   returning          = 0.5
# }

# A router that has just started beside many others: how it dials, and when it takes itself to have stood still.
# return {
#   pace     = "answers"
#   stall_ms = 1000
# }

# Routers that know each other, where they may talk (docs/membership.md). Off on the platform of deploy/balancer.toml.
# members {
#   listen    = "10.0.0.4:7433"
#   advertise = "10.0.0.4:7433"
#   seeds     = ["10.0.0.4:7433", "10.0.0.5:7433", "10.0.0.6:7433"]
#   keys      = "/etc/sandstile/keys"
#   zone      = "a"
#   control   = "/run/sandstile/members.sock"
#   share     = true
#   period_ms = 250
# }
