# A job that can never run is refused; one that fails everywhere stops being tried.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
job submit j1 -members 9 -accelerators 8 -run 1s
expect job j1 failed within 10s
job submit j2 -members 1 -accelerators 1 -run 1s -fault ";fail" -attempts 2
expect job j2 failed within 120s
job submit j3 -members 1 -accelerators 1 -run 1s
expect job j3 finished within 30s
