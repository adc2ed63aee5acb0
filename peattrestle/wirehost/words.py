"""Wire names and ours. Names, words and units only."""

from __future__ import annotations

US = 1_000  # nanoseconds in the wire's microsecond

# Path in the wire's settings -> our name. A path that ends in Us holds microseconds.
SETTINGS = {
    "NInstances": "agents",
    "Me": "me",
    "StepUs": "step",
    "Discovery": "discovery",
    "OverShareWorth": "over_share_revenue",
    "FamilyInfo.OwnNumber": "own_number",
    "FamilyInfo.ClearWaitUs": "release_time",
    "FamilyInfo.ResendUs": "repeat_gap",
    "FamilyInfo.TellsWait": "tells_wait",
    "FamilyInfo.Topology": "topology",
    "FamilyInfo.Advice": "advice",
    "FamilyInfo.RemoteLoad": "far_reports",
    "Caps.AttemptsCap": "route_try_limit",
    "Caps.DialTimeoutUs": "dial_timeout",
    "Caps.MaxRetryAfterUs": "come_back_limit",
    "Caps.RetryAfter": "come_back",
    "Caps.Probing": "probes",
    "Rules.AnswerSlackUs": "answer_slack",
    "Rules.AskWithinUs": "ask_within",
    "Rules.ColdFrom": "cold_from",
    "Rules.ColdUs": "cold_time",
    "Rules.FallUs": "fall_time",
    "Rules.OverloadFactor": "fall_multiple",
    "Rules.StopSendingWithinUs": "drain_grace",
}
# Name in one of the wire's classes -> our name, which gets ':' and the bearer type behind it.
BEARER = {
    "AimUs": "gos_target",
    "HardLimitUs": "abandon_time",
    "LateWorth": "late_revenue",
    "Worth": "revenue",
    "Semantics": "effect",
    "Group": "effect_group",
    "WindowUs": "effect_window",
}
# Lists with one value for each class, in the order of the classes.
BEARER_LISTS = {
    "FamilyInfo.HoldingUs": "holding",
    "FamilyInfo.ClassWidth": "width",
    "FamilyInfo.AllowedPools": "pools",
}
CUSTOMER = {"QuotaRps": "quota", "Fraction": "share"}
VALUES = {
    "pushed": "push",
    "on_request": "ask",
    "read_like": "safe",
    "idempotency_key": "keyed",
    "non_idempotent": "unsafe",
    "inline": "answers",
    "on_probe": "probe",
    "off": "none",
}
LOAD = {
    "free": "free",
    "size": "size",
    "pending": "queue",
    "can_take": "rate",
    "cpu_share": "busy",
    "svc_ms": "wait_ms",
    "hold_back": "hold_back",
    "busy_reqs": "in_work",
    # The same where the simulator's own words are used, as on the platform's sockets.
    "x0": "free",
    "x1": "size",
    "queue": "queue",
    "qps": "rate",
    "util": "busy",
    "latency_ms": "wait_ms",
    "eps": "hold_back",
    "inflight": "in_work",
}
RESULTS = {
    "served": "served",
    "server_error": "error",
    "turned_away": "full",
    "no_answer": "timeout",
    "no_connection": "connect_failed",
    "connection_lost": "reset",
    "called_off": "cancelled",
    "not_sent": "moot",
}
STATES = {1: "ready", 0: "draining", 3: "gone"}
FORMS = {0: "delta", 4: "full", 1: "cached", 3: "failed"}
CAUSES = {1: "no_circuit", 2: "turned_back", 3: "processor_full", 4: "lines_busy"}
