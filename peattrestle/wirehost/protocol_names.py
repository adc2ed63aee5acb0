"""Maps the names and values of the simulator's protocol to those of the call router."""

from __future__ import annotations

US = 1_000  # nanoseconds per microsecond, the protocol's unit of time

# Path in the protocol's settings -> name in the controller's settings. Paths that end in Us are microseconds.
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
# Name in a class of the protocol -> name in the controller's settings, followed by ':' and the bearer type.
BEARER = {
    "AimUs": "gos_target",
    "HardLimitUs": "abandon_time",
    "LateWorth": "late_revenue",
    "Worth": "revenue",
    "Semantics": "effect",
    "Group": "effect_group",
    "WindowUs": "effect_window",
}
# Path of a list with one value for each class, in the order of the classes -> name, as for BEARER.
BEARER_LISTS = {
    "FamilyInfo.HoldingUs": "holding",
    "FamilyInfo.ClassWidth": "width",
    "FamilyInfo.AllowedPools": "pools",
}
# Name in a project -> name in the controller's settings, followed by ':' and the project.
CUSTOMER = {"QuotaRps": "quota", "Fraction": "share"}
# Values of settings.
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
# Names of the values in a load report.
LOAD = {
    "free": "free",
    "size": "size",
    "pending": "queue",
    "can_take": "rate",
    "cpu_share": "busy",
    "svc_ms": "wait_ms",
    "hold_back": "hold_back",
    "busy_reqs": "in_work",
    # The names that the simulator itself uses, as on the platform's sockets.
    "x0": "free",
    "x1": "size",
    "queue": "queue",
    "qps": "rate",
    "util": "busy",
    "latency_ms": "wait_ms",
    "eps": "hold_back",
    "inflight": "in_work",
}
# Results of a try or a probe.
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
# Numbers of the states of an exchange, forms of a list, causes of a failed try.
STATES = {1: "ready", 0: "draining", 3: "gone"}
FORMS = {0: "delta", 4: "full", 1: "cached", 3: "failed"}
CAUSES = {1: "no_circuit", 2: "turned_back", 3: "processor_full", 4: "lines_busy"}
