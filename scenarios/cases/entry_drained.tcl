# A drained entry answers what it took and refuses the rest as not run.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
request r1 e1 -class check -body "work_ms=1500 a" -deadline 5s
wait 50ms
entry e1 drain
request r2 e1 -class check
expect request r2 refused no
expect request r1 answered within 3s
expect drained e1 within 8s
