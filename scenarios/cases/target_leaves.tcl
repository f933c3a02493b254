# A leaving target gets no new work after two seconds; what runs there finishes.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
request r1 e1 -class check -body "work_ms=1500 a" -deadline 5s
request r2 e2 -class check -body "work_ms=1500 b" -deadline 5s
wait 50ms
target t1 leave
expect request r1 answered within 3s
expect request r2 answered within 3s
for {set i 0} {$i < 40} {incr i} {
    request n$i e[expr {$i % 2 + 1}] -class check
    wait 100ms
}
