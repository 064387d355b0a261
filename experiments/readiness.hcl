# Did the readiness loop help service, or only the machine? The build before it, with a thread for each connection, against
# the one beside the lab, on a derby night. `before` names the older program; build it from commit 413ba03.
title       = "Readiness loop against a thread for each connection, derby night"
script      = "rehearsals/derby-night.hcl"
pairs       = 12
quick_pairs = 6
seed        = 300
matters     = 0.005

arm "threads" { router = "target/before/sandstile" }
arm "readiness" {}
