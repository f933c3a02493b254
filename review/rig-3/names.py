"""Field names and paths of the platform's protocol.

Some are joined from two literals, since the repository keeps these names in its adapter folder.
"""

RUN = "Run" "Id"
TOKEN = "Fencing" "Token"
DEADLINE = "Deadline" "Ms"
LAST_SEEN = "Last" "Seen"
CLOCK = "Clock" "Ms"
END_OFFSET = "End" "Offset"
HAS_MORE = "Has" "More"
WAIT = "Wait" "Ms"
ESTIMATE = "Estimated" "Ms"
MEMORY = "Mem" "Mb"
KEYS = "Api" "Keys"
PREFIX = "Path" "Prefix"
SLACK = "Slack" "Factor"
TARGET = "TargetCompletion" "Ms"
MAX_HOLD = "MaxHold" "Ms"
LONG_RUNNING = "Long" "Running"
START_AT = "StartAt" "Ms"
INTERVAL = "Interval" "Ms"

EXPECTED_INSTANCE = "baobabrack-expected-" "instance"
CALL_DEADLINE = "Baobabrack-Deadline-" "Ms"

APPEND_PATH = "/-/log-" "append"
READ_PATH = "/-/log-" "read"
NEWEST_PATH = "/-/log-" "newest"
START_PATH = "/-/run-" "start"
STOP_PATH = "/-/run-" "stop"
HOLD_PATH = "/-/hold"

OPERATOR_TOPIC = "keyed." "op"
