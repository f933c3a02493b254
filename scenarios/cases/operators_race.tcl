# Two operators race with one number: the first by offset wins, the other is refused.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
ticket -via e1 json {{"number": 5, "note": "left", "workspaces": [{"id": "w2", "name": "Left", "service": "plaitplan", "request_weight": 1}]}}
ticket -via e2 json {{"number": 5, "note": "right", "workspaces": [{"id": "w2", "name": "Right", "service": "plaitplan", "request_weight": 1}]}}
expect ticket 5 refused within 8s
expect ticket 5 everywhere within 8s
ticket json {{"number": 4, "note": "late", "workspaces": [{"id": "w2", "name": "Late", "service": "plaitplan", "request_weight": 1}]}}
expect ticket 4 everywhere within 8s
request r1 e1 -workspace Late -class check
expect request r1 refused no
