# Targets that never answer, answer for others or cut answers short are passed by.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
target t3 add plaitplan north
target t4 add plaitplan north
foreach mode {stall cross truncate errors} {
    target t1 $mode
    for {set i 0} {$i < 5} {incr i} {
        request $mode$i e1 -class check -deadline 4s
        expect request $mode$i answered within 4s
    }
    target t1 ordinary
    wait 70s
}
