# Both arms are the same: whatever is claimed here is false.
title       = "Nothing is different"
script      = "rehearsals/derby-night.hcl"
pairs       = 12
quick_pairs = 1
seed        = 200
matters     = 0.005

arm "one" {}
arm "other" {}
