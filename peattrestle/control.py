"""Routing and admission decisions of a call agent: whether a call is set up, and over which route.

A call agent creates one `Controller(seed, settings)` and passes each batch of events to its `handle(now,
events)`, which returns the resulting actions in order; `interface.py` defines the types of both. Settings are
a flat mapping from names to values ('gos_target:NAME' holds the value for one bearer type). Times are
nanoseconds.

A call takes the direct trunk group while that has free circuits, else one of at most two tandems by rising
route score; some circuits of the group to a tandem stay reserved for direct calls (docs/design.md). Beside
this ordinary routing there are six overload controls:

1. cold budget: an exchange that has just started gets no more set-ups than this agent's share of the rate
   that would overload it;
2. window: the outstanding set-ups to an exchange that answers late, reports a full processor or does not
   answer are limited, with random admission at the limit; so are all outstanding set-ups of this agent while
   many answers are late;
3. tandem pause: a tandem that had no free circuits to a destination gets no call for that destination for
   one statistics window or longer;
4. overflow brake: as answers get late or missing, fewer calls overflow to tandems, and none to a tandem that
   is not known to reach the destination;
5. early time-out: while set-ups are being lost, an unanswered one is abandoned in time for one more try;
6. call gapping: calls to a number whose lines are all busy are refused for a while.

Each exchange, the own one included, is an actor with an inbox; `CallRouter` holds the calls. To set a call
up, `CallRouter` asks the own exchange, the destination and a tandem in turn for admission; each admits the
call or refuses it. Rule numbers in comments are those of `peattrestle/calls/guard.py`.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from peattrestle import interface as api
from peattrestle.storms.retry_detection import CallerAttempt, RequestKey, RetryDetector

SECOND = 1_000_000_000  # nanoseconds

# Route scores (docs/design.md).
SLOT = SECOND  # ns, sampling interval
WINDOW_SLOTS = 10  # slots in the statistics window
MIN_SETUPS_FOR_SCORE = 5
WARNING_SCORE, CRITICAL_SCORE = 1, 10  # score points
ANSWER_RATIO_WARNING, ANSWER_RATIO_CRITICAL = 0.8, 0.5  # fraction of set-ups that are answered
DELAY_WARNING, DELAY_CRITICAL = SECOND, 3 * SECOND  # ns, mean set-up delay
ANSWER_RATIO_WEIGHT = DELAY_WEIGHT = 1  # factors of the score points
MAX_TANDEM_TRIES = 2  # per call
MIN_RESERVED_CIRCUITS = 2  # per trunk group to a tandem, beyond the width of the call

HALF_LIFE = 4 * SECOND  # ns in which the statistics other than route scores lose half their weight


@dataclass(slots=True)
class AdmissionRequest:
    """Asks an exchange to admit a call; `role` is 'own', 'destination' or 'tandem'."""

    call: Call
    role: str


@dataclass(slots=True)
class AdmissionResponse:
    """An exchange's answer to an `AdmissionRequest`."""

    request: AdmissionRequest
    exchange: Exchange
    admitted: bool


@dataclass(slots=True)
class SetUpSent:
    """A set-up was sent that this exchange has to process.

    `is_outstanding`: it counts in the exchange's window, as it was sent to this exchange or starts at it; not
    so where this exchange is only the destination behind a tandem.
    """

    is_outstanding: bool


@dataclass(slots=True)
class SetUpFinished:
    """A set-up sent to or through this exchange was answered or has ended.

    outcome: 'answered', 'overloaded' (full processor), 'unanswered', 'unreachable' (the connection failed) or
    '', which says nothing about the exchange's load.
    elapsed: nanoseconds from sending until then, where the outcome is 'answered' or 'unanswered'.
    sent_elsewhere: the set-up was sent to another exchange and does not count in this one's window.
    """

    outcome: str = ""
    elapsed: int = 0
    sent_elsewhere: bool = False


Message = AdmissionRequest | AdmissionResponse | SetUpSent | SetUpFinished | api.Entry | api.Event


class Actor:
    """Handles the messages of its inbox one at a time, as the loop delivers them."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.inbox: deque[Message] = deque()

    def receive(self, message: Message) -> None:
        """Handles one message from the inbox."""
        raise NotImplementedError


class Loop:
    """Delivers messages in the order they were posted.

    Holds what all actors share: settings, clock, random numbers and the resulting actions.
    """

    def __init__(self, seed: int, settings: api.Settings) -> None:
        self.settings = settings
        self.now = 0  # ns, time of the events being handled
        self.actions: list[api.Action] = []
        self._random_state = seed & 0xFFFFFFFFFFFFFFFF
        self._pending: deque[Actor] = deque()  # one entry for each message not yet delivered
        self._next_log_at = 0

    def post(self, actor: Actor, message: Message) -> None:
        """Puts a message into the inbox of `actor`."""
        actor.inbox.append(message)
        self._pending.append(actor)

    def run(self) -> None:
        """Delivers messages until none is left."""
        while self._pending:
            actor = self._pending.popleft()
            actor.receive(actor.inbox.popleft())

    def log(self, text: str) -> None:
        """Logs at most one line per statistics window: in a wide overload further lines would add nothing."""
        if self.now >= self._next_log_at:
            self._next_log_at = self.now + WINDOW_SLOTS * SLOT
            self.actions.append(api.Log(text))

    def random(self) -> float:
        """Random number in [0, 1) from Knuth's MMIX linear congruential generator.

        The low bits of such a generator have short periods, so only the high ones are used.
        """
        self._random_state = (
            self._random_state * 6364136223846793005 + 1442695040888963407
        ) & 0xFFFFFFFFFFFFFFFF
        return (self._random_state >> 40) / (1 << 24)


@dataclass(slots=True)
class Slot:
    """Set-ups of one sampling interval; `delay` is the sum of their delays in nanoseconds."""

    index: int
    setups: int = 0
    answered: int = 0
    delay: int = 0


class RouteStatistics:
    """Answer ratio and set-up delay of one destination and route over the statistics window."""

    __slots__ = ("slots", "paused_until", "pauses_without_answer", "has_reached_destination")

    def __init__(self) -> None:
        self.slots: deque[Slot] = deque()
        self.paused_until = 0  # ns; see `pause`
        self.pauses_without_answer = 0
        self.has_reached_destination = False

    def add(self, now: int, answered: bool, delay: int) -> None:
        """Counts a set-up that ended at `now` after `delay`, both in nanoseconds."""
        index = now // SLOT
        self.drop_old_slots(index)
        if not self.slots or self.slots[-1].index != index:
            self.slots.append(Slot(index))
        slot = self.slots[-1]
        slot.setups += 1
        slot.answered += answered
        slot.delay += delay
        self.has_reached_destination |= answered
        self.pauses_without_answer *= not answered

    def pause(self, now: int) -> None:
        """Keeps calls for this destination away from a tandem that has no free circuits to it.

        The trunk groups of a tandem are not visible here; only the calls it turns back show that they are
        full. Set-ups for one destination and tandem are few, so the five that a score needs would come too
        late. A tandem that has never reached the destination may have no group to it at all, so each of its
        pauses is twice as long as the one before, up to 32 statistics windows.
        """
        self.paused_until = now + WINDOW_SLOTS * SLOT * 2 ** min(self.pauses_without_answer, 5)
        self.pauses_without_answer += not self.has_reached_destination

    def drop_old_slots(self, index: int) -> None:
        """Drops the slots that have left the statistics window; `index`: of the current slot."""
        while self.slots and self.slots[0].index <= index - WINDOW_SLOTS:
            self.slots.popleft()

    def score(self, now: int) -> int:
        """Score points for a low answer ratio and a long set-up delay; 0 while there are too few set-ups."""
        self.drop_old_slots(now // SLOT)
        setups = sum(slot.setups for slot in self.slots)
        if setups < MIN_SETUPS_FOR_SCORE:
            return 0
        ratio = sum(slot.answered for slot in self.slots) / setups
        delay = sum(slot.delay for slot in self.slots) / setups
        score = 0
        if ratio < ANSWER_RATIO_WARNING:
            score += ANSWER_RATIO_WEIGHT * (
                CRITICAL_SCORE if ratio < ANSWER_RATIO_CRITICAL else WARNING_SCORE
            )
        if delay > DELAY_WARNING:
            score += DELAY_WEIGHT * (CRITICAL_SCORE if delay > DELAY_CRITICAL else WARNING_SCORE)
        return score


class DelayHistogram:
    """Set-up delays as fractions of the GoS target; the weights are halved every `HALF_LIFE`."""

    EDGES = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.75, 1.0)  # fractions of the GoS target
    MIN_WEIGHT = 3.0  # set-ups

    __slots__ = ("bins", "next_halving_at")

    def __init__(self) -> None:
        self.bins = [0.0] * (len(self.EDGES) + 1)
        self.next_halving_at = 0

    def add(self, now: int, fraction: float) -> None:
        """Counts a set-up delay, given as a fraction of the GoS target."""
        if now >= self.next_halving_at:
            self.bins = [weight / 2 for weight in self.bins]
            self.next_halving_at = now + HALF_LIFE
        self.bins[bisect_left(self.EDGES, fraction)] += 1

    def weight_above(self, fraction: float) -> float:
        """Weight of the set-ups in the bins above the one that holds `fraction`."""
        return sum(self.bins[bisect_left(self.EDGES, fraction) + 1 :])

    def quantile(self, probability: float) -> float:
        """Upper edge of the bin that holds the quantile.

        Infinite where that is the last bin, or where the histogram holds too few set-ups.
        """
        total, below = sum(self.bins), 0.0
        for edge, weight in zip(self.EDGES, self.bins, strict=False):
            below += weight
            if below >= probability * max(total, self.MIN_WEIGHT):
                return edge
        return inf


class Exchange(Actor):
    """State and estimated load of one exchange; decides whether a call may be set up through it now."""

    INITIAL_WINDOW = 4.0  # set-ups; a few answers in time widen it
    MIN_WINDOW = 0.05  # set-ups; below 1, a call is admitted with this probability while none is outstanding
    WINDOW_RECOVERY = 0.1  # set-ups per second; with few calls no answer would show that the overload is over
    WINDOW_DECREASE = 0.5  # factor
    OWN_WINDOW_STEP = 0.05  # fraction of the own window, which limits all set-ups of this agent, per answer
    MIN_DECREASE_INTERVAL = SECOND // 2  # ns; set-ups sent before a decrease do not show its effect
    EARLY_TIMEOUT_QUANTILE = 0.9  # an early time-out is at least twice this quantile of the set-up delay

    def __init__(self, loop: Loop, router: CallRouter, name: str) -> None:
        super().__init__(loop)
        self.router = router
        self.name = name
        self.number = -1
        self.state = "gone"
        self.cold_until = 0  # ns
        self.start_known_at, self.budget_phase = 0, 0.0  # see has_cold_budget
        self.free_circuits, self.group_size = 0, -1  # of the own trunk group to it; size -1: not known
        self.cold_setups: deque[int] = deque()  # times at which set-ups were sent during the cold time
        self.outstanding, self.window = 0, self.INITIAL_WINDOW  # set-ups outstanding, and their limit
        self.window_fixed_until = self.answered_in_time_at = 0
        self.delays = DelayHistogram()

    def receive(self, message: Message) -> None:
        match message:
            case AdmissionRequest():
                self.loop.post(self.router, AdmissionResponse(message, self, self.admits(message)))
            case SetUpSent(is_outstanding):
                self.outstanding += is_outstanding
                if self.loop.now < self.cold_until:
                    self.cold_setups.append(self.loop.now)
            case SetUpFinished():
                self.outstanding -= not message.sent_elsewhere
                self.update_window(message)
            case api.Entry():
                self.apply_list_entry(message)
            case api.LoadReported() | api.TryEnded():
                self.free_circuits = int(message.load.get("free", self.free_circuits))
                self.group_size = int(message.load.get("size", self.group_size))
                self.router.max_setup_rate = max(self.router.max_setup_rate, message.load.get("rate", 0.0))

    def apply_list_entry(self, entry: api.Entry) -> None:
        """Applies this exchange's entry of the exchange list."""
        if self.number < 0 and entry.number == self.router.own_number:
            self.window = 2 * self.INITIAL_WINDOW  # a restart during a storm must not add a burst
        self.number, self.state = entry.number, entry.state
        cold_until = entry.started_at + self.loop.settings.get("cold_time", 0) if entry.started_at else 0
        if cold_until > self.cold_until:
            self.cold_until = cold_until
            self.start_known_at, self.budget_phase = self.loop.now, self.loop.random()

    def update_window(self, finished: SetUpFinished) -> None:
        """Additive increase by one set-up per window of answers in time; multiplicative decrease on overload.

        A queue at the exchange delays many set-ups, so there is at most one decrease per
        `MIN_DECREASE_INTERVAL`.
        """
        now = self.loop.now
        in_time = finished.outcome == "answered" and finished.elapsed <= self.router.late_after
        if self.number == self.router.own_number:
            # Guards against a metastable overload: callers' repeats keep the network overloaded after its
            # cause has gone.
            if in_time:
                self.window = min(self.router.max_window(1), self.window * (1 + self.OWN_WINDOW_STEP))
            elif (
                finished.outcome in ("answered", "unanswered")
                and self.router.late_share(0.25) > self.router.MAX_LATE_SHARE
            ):
                self.window = max(1.0, min(self.window, self.outstanding + 1) * (1 - self.OWN_WINDOW_STEP))
            return
        if finished.outcome == "answered":
            self.delays.add(now, finished.elapsed / self.router.target)
        if in_time:
            self.answered_in_time_at = now
            max_window = self.router.max_window(self.router.peer_agents)
            self.window = min(max_window, self.window + min(self.window, 1 / self.window))
        elif finished.outcome == "unanswered" and now - finished.elapsed < self.answered_in_time_at:
            pass  # only this message was lost: the exchange has answered in time since it was sent
        elif finished.outcome == "unreachable":
            self.window = self.MIN_WINDOW  # nothing listens there, even if the list still says 'ready'
            self.window_fixed_until = now + self.MIN_DECREASE_INTERVAL
        elif finished.outcome and now >= self.window_fixed_until:
            self.window = max(self.MIN_WINDOW, self.window * self.WINDOW_DECREASE)
            self.window_fixed_until = now + self.MIN_DECREASE_INTERVAL
            self.loop.log(
                f"exchange {self.number}: overloaded (late, full, silent), window {self.window:.2f} set-ups"
            )

    def admits(self, request: AdmissionRequest) -> bool:
        """Whether the call may be set up through this exchange, in the role that the request names."""
        # The own exchange may be in any state, or not yet be listed as ready: its callers have no other, and
        # no set-up is sent to it.
        own = request.role == "own"
        if (not own and self.state != "ready") or self.exceeds_window(request.call):
            return False
        return self.loop.now >= self.cold_until or self.has_cold_budget(own)

    def early_timeout(self) -> int:
        """Nanoseconds after which an unanswered set-up counts as lost; 0: no early time-out.

        Where nearly all set-ups are answered soon, one that is not was probably lost. The GoS target must
        leave time for the release and a second try; a slow exchange gets no early time-out.
        """
        target = self.router.target
        # Where this exchange has answered too few set-ups, the delays of all exchanges are used.
        too_few = sum(self.delays.bins) < DelayHistogram.MIN_WEIGHT
        usual_delay = (
            min(1.0, (self.router if too_few else self).delays.quantile(self.EARLY_TIMEOUT_QUANTILE)) * target
        )
        timeout = target - self.loop.settings.get("release_time", 0) - usual_delay
        return int(timeout) if timeout >= 2 * usual_delay else 0

    def has_free_circuits(self, circuits: int) -> bool:
        """Whether the trunk group to this exchange has that many free circuits.

        True where nothing is known of the group yet: if it has no free circuits, the try ends without a
        set-up being sent.
        """
        own = self.number == self.router.own_number
        return self.state == "ready" and not own and (self.group_size < 0 or self.free_circuits >= circuits)

    def has_cold_budget(self, own: bool) -> bool:
        """Whether this agent may send one more set-up to an exchange that is still cold (rule 4).

        A cold exchange starts at `cold_from` of its capacity and fails if it gets more than `fall_multiple`
        times its present capacity within `fall_time`; the budget is a part of that amount.

        All agents may react to the same event at once, so each keeps to its share of the budget. Every call
        has two ends, so half of an exchange's set-ups start there: that half is for the exchange's own agent.
        The capacity is known only for the start and the end of the cold time, so half of a linear growth
        between them is assumed.
        """
        get = self.loop.settings.get
        rate = self.router.circuits / self.router.holding_time
        if (
            self.router.max_setup_rate
        ):  # trunk groups may carry more than the processors behind them can set up
            rate = min(rate, self.router.max_setup_rate / SECOND)
        warm_setups = rate * get("fall_time", 0)  # that a warm exchange carries within the fall time
        # Fractions: of the capacity at the start, and of the cold time that is still to come.
        initial, remaining = (
            get("cold_from", 1),
            (self.cold_until - self.loop.now) / max(1, get("cold_time", 0)),
        )
        budget: float = (
            get("fall_multiple", 1) * (initial + (1 - initial) / 2 * (1 - remaining)) * warm_setups / 2
        )
        share = max(0.01, budget if own else budget / self.router.peer_agents)
        window: float = get("fall_time", 0) / min(1.0, share)  # a share below 1: one set-up in a longer time
        while self.cold_setups and self.cold_setups[0] <= self.loop.now - window:
            self.cold_setups.popleft()
        # Many agents learn of a start at once, and a restarted agent does not remember its set-ups. If each
        # sent its first one at once, that would be a burst: so each assumes one at a random time (drawn as
        # `budget_phase`) in the window before it learned of the start.
        assumed = self.start_known_at - window * self.budget_phase > self.loop.now - window
        return len(self.cold_setups) + assumed < max(1, int(share))

    def exceeds_window(self, call: Call) -> bool:
        """Whether to refuse the call because too many set-ups to this exchange are outstanding.

        This limits the load of a processor that is slow, overloaded, silent or cut off, whatever the cause:
        the outstanding set-ups of all agents together are its queue, and each agent sees its own. Calls of
        less revenue get a smaller part of the window, so they are refused more often. The decision is random
        where the call would exceed the window by less than one set-up.
        """
        if self.window < 1 and self.loop.now > self.window_fixed_until:
            self.window = min(
                1.0, self.window + self.WINDOW_RECOVERY * (self.loop.now - self.window_fixed_until) / SECOND
            )
            self.window_fixed_until = self.loop.now
        revenue = self.router.relative_revenue(call.arrival, call.attempt)
        excess = self.outstanding + 1 - self.window * revenue
        return excess > 0 and self.loop.random() < excess


@dataclass(slots=True)
class Call:
    """A call this agent has to answer, with the state of its route tries."""

    arrival: api.CallArrived
    arrived_at: int
    destination: Exchange
    attempt: CallerAttempt | None = None  # first or further try of its caller; None in transit
    routes: deque[Exchange] = field(default_factory=deque)  # still to be tried, in order
    pending_route: Exchange | None = None  # where the one route try in progress was sent
    tries: int = 0
    release_at: int = 0  # nothing is sent before this time (rule 5)
    may_have_run: bool = False  # no further try then for a bearer type that is not safe to repeat (rule 2)
    tandem_tries: int = 0
    sent_at: int = 0
    needs_tandems: bool = False  # its tandems are ranked only once the routes before them are used up
    is_braked: bool = False  # by the overflow brake


class CallRouter(Actor):
    """The agent's calls and route statistics; the only place that sends set-ups and final answers."""

    MAX_LATE_SHARE = 0.25  # fraction of answers; from here on no call overflows and the own window shrinks
    RETRY_CREDIT, MAX_RETRY_BUDGET = (
        0.1,
        10.0,
    )  # further route tries that each first try allows, and the largest budget
    LATE_RETURN_SHARE = 0.2  # rate at which late callers return, as a fraction of the answered calls
    RETRY_JITTER = 0.4  # fraction of a third of the GoS target; spreads callers that were refused together
    MIN_GAP, MAX_GAP = SECOND, 8 * SECOND  # ns; a busy line comes free within about a holding time

    def __init__(self, loop: Loop) -> None:
        super().__init__(loop)
        get = loop.settings.get
        self.exchanges: dict[str, Exchange] = {}
        self.exchanges_by_number: dict[int, Exchange] = {}
        self.max_setup_rate = 0.0  # set-ups per second, the highest that any exchange has reported
        self.circuits = 0  # in all own groups; over the holding time, the rate that an equal exchange carries
        self.calls: dict[int, Call] = {}
        self.statistics: dict[tuple[int, str], RouteStatistics] = {}  # by destination number and route name
        self.empty_statistics = RouteStatistics()
        self.gaps: dict[str, tuple[int, int]] = {}  # called number: end and length of its gap, in ns
        self.own_number: int = get("own_number", -1)
        self.peer_agents: int = max(1, get("agents", 1) - 1)
        # Circuits kept for direct calls. With more agents there are more tandems to choose from and the
        # groups are smaller, so no group has to give its last circuits to overflow.
        self.reserved_circuits = max(MIN_RESERVED_CIRCUITS, int(get("agents", 1) ** 0.5))
        # Whether the settings list the tandems of each bearer type; else every exchange may be a tandem.
        self.uses_pools: bool = get("topology", "mesh") == "pools"
        types: tuple[str, ...] = get("bearer_types", ())
        # GoS target in ns, the shortest of all bearer types.
        self.target = min((int(get(f"gos_target:{name}", SECOND)) for name in types), default=SECOND)
        self.revenue = {name: float(get(f"revenue:{name}", 1.0)) for name in types}
        self.mean_revenue = sum(self.revenue.values()) / max(1, len(types)) or 1.0
        self.retry_budget = self.MAX_RETRY_BUDGET
        self.next_return_slot_at = 0  # ns; see `retry_delay`
        # Nanoseconds after which an answer is late. No longer than `repeat_gap`, after which the set-up
        # message is repeated: the repeat costs the exchange work and sets up no further call.
        self.late_after = min(self.target // 2, get("repeat_gap", 0) or self.target)
        # Nanoseconds, the longest of all bearer types.
        self.holding_time = max((int(get(f"holding:{name}", SECOND)) for name in types), default=SECOND)
        self.delays = DelayHistogram()
        self.follows_list = False
        self.lost_setups, self.lost_halved_at = 0.0, 0  # see `recent_losses`
        self.retry_detector = RetryDetector(
            max((int(get(f"abandon_time:{name}", SECOND)) for name in types), default=SECOND)
        )

    def receive(self, message: Message) -> None:
        match message:
            case api.CallArrived():
                self.handle_call(message)
            case AdmissionResponse():
                self.handle_admission_response(message)
            case api.TryAnswered():
                self.handle_answer(message)
            case api.TryEnded():
                self.handle_try_ended(message)
            case api.LoadReported():
                self.update_circuits(message)
            case api.ListUpdated():
                self.handle_list(message)
            case api.TimerDue(token):
                self.handle_timer(token)
            case api.CallerLeft():
                if (call := self.calls.pop(message.call, None)) is not None:
                    self.remember_unserved(call.arrival, call.attempt)
                    if call.pending_route is not None:
                        self.handle_no_answer(call.pending_route, self.loop.now - call.sent_at)

    def get_exchange(self, name: str) -> Exchange:
        """The exchange of that name, created when it is first mentioned."""
        if name not in self.exchanges:
            self.exchanges[name] = Exchange(self.loop, self, name)
        return self.exchanges[name]

    def handle_list(self, message: api.ListUpdated) -> None:
        """Passes each entry to its exchange; where the list has to be asked for, asks for its changes."""
        for exchange in list(self.exchanges.values()):
            # Drops an exchange that was replaced: its trunk group now belongs to the replacement.
            if exchange.state == "gone" and self.exchanges_by_number.get(exchange.number) is not exchange:
                self.circuits -= max(0, self.exchanges.pop(exchange.name).group_size)
        self.statistics = {key: route for key, route in self.statistics.items() if key[1] in self.exchanges}
        if message.form in ("full", "cached"):
            present = {entry.exchange for entry in message.entries}
            for exchange in self.exchanges.values():
                if exchange.name not in present:
                    self.loop.post(exchange, api.Entry(exchange.name, exchange.number, "gone"))
        for entry in message.entries:
            exchange = self.get_exchange(entry.exchange)
            if entry.state == "ready" or entry.number not in self.exchanges_by_number:
                self.exchanges_by_number[entry.number] = exchange  # a replacement takes over the number
            self.loop.post(exchange, entry)
        must_ask = self.loop.settings.get("discovery", "push") == "ask"
        if must_ask and not self.follows_list:
            self.follows_list = True
            self.loop.actions.append(api.FollowList())
        elif must_ask and message.form == "failed":
            # After a random delay: agents whose lists failed together should not all ask again at once.
            self.loop.actions.append(api.SetTimer(self.loop.now + int(self.loop.random() * SECOND), "follow"))

    def handle_timer(self, token: str) -> None:
        """Asks for the list again ('follow'), or starts the next try of the call whose id the token is."""
        if token == "follow":
            self.loop.actions.append(api.FollowList())
        elif (
            token.isdigit()
            and (call := self.calls.get(int(token))) is not None
            and call.pending_route is None
        ):
            self.request_admission(call)

    def relative_revenue(self, arrival: api.CallArrived, attempt: CallerAttempt | None) -> float:
        """Expected revenue of the call, relative to the mean revenue.

        A further try that can no longer be answered within the GoS target counts with the fraction
        `late_revenue`, so that first tries go before it.
        """
        name, first_at = arrival.bearer_type, attempt.first_at if attempt is not None else -1
        late = 0 <= first_at < self.loop.now - self.target
        share: float = self.loop.settings.get(f"late_revenue:{name}", 1.0) if late else 1.0
        return share * self.revenue.get(name, 1.0) / self.mean_revenue

    def recent_losses(self) -> float:
        """Set-ups at any exchange that got no answer; the count halves every `HALF_LIFE`."""
        halvings = (self.loop.now - self.lost_halved_at) // HALF_LIFE
        self.lost_setups /= 2 ** min(halvings, 20)
        self.lost_halved_at += halvings * HALF_LIFE
        return self.lost_setups

    def late_share(self, loss_weight: float) -> float:
        """Fraction of the set-ups whose answer was late or, counted with `loss_weight`, missing.

        An agent cannot see how busy the other exchanges are; its answers from all of them together show it.
        """
        late, missing = (
            self.delays.weight_above(self.late_after / self.target),
            self.recent_losses() * loss_weight,
        )
        return (late + missing) / max(DelayHistogram.MIN_WEIGHT, sum(self.delays.bins) + missing)

    def update_circuits(self, message: api.LoadReported | api.TryEnded) -> None:
        """Updates the number of circuits in all own groups, and passes the load report to its exchange."""
        exchange = self.get_exchange(message.exchange)
        self.circuits += max(0, int(message.load.get("size", exchange.group_size))) - max(
            0, exchange.group_size
        )
        self.loop.post(exchange, message)

    def max_window(self, agents: int) -> float:
        """An agent's part of the set-ups that an exchange like the own one handles within the GoS target."""
        return max(Exchange.INITIAL_WINDOW, self.circuits * self.target / self.holding_time / agents)

    def route_statistics(self, destination: int, route: Exchange) -> RouteStatistics:
        """The statistics of that route to that destination number, created when they are first used."""
        return self.statistics.setdefault((destination, route.name), RouteStatistics())

    def handle_call(self, arrival: api.CallArrived) -> None:
        """Refuses a new call at once, or starts to set it up."""
        destination = self.exchanges_by_number.get(arrival.destination)
        gap_until, _ = self.gaps.get(arrival.number, (0, 0))
        attempt = (
            None
            if arrival.transit
            else arrival.attempt
            or self.retry_detector.classify(
                self.loop.now, self.request_key(arrival), arrival.repeat, arrival.cut_before
            )
        )
        if (
            destination is None
            or arrival.destination == self.own_number
            and arrival.transit
            or arrival.over_share
        ):
            # No such exchange, a call in transit that has reached its destination, or a gateway over its
            # share. Callers of another agent's exchange that use this agent while theirs is away do reach
            # the own exchange, over a tandem.
            self.refuse(arrival, attempt)
        elif self.loop.now < gap_until and not arrival.transit:
            self.refuse(arrival, attempt, gap_until - self.loop.now)
        else:
            if arrival.transit and (origin := self.exchanges_by_number.get(arrival.via)) is not None:
                # The origin has no free circuits to the destination, or it would not have sent the call here.
                self.route_statistics(arrival.destination, origin).pause(self.loop.now)
            self.calls[arrival.call] = Call(arrival, self.loop.now, destination, attempt)
            self.request_admission(self.calls[arrival.call])

    @staticmethod
    def request_key(arrival: api.CallArrived) -> RequestKey:
        """What further tries of the same caller have in common, for the retry detection."""
        return arrival.gateway or arrival.customer, arrival.bearer_type, arrival.destination, arrival.number

    def request_admission(self, call: Call) -> None:
        """Asks the own exchange for admission, the first step of a call and of the try after a lost one."""
        own = self.exchanges_by_number.get(self.own_number)
        self.loop.post(own or call.destination, AdmissionRequest(call, "own" if own else "destination"))

    def handle_admission_response(self, response: AdmissionResponse) -> None:
        """Goes on with the next step of the call, or with the next route or a refusal if not admitted."""
        call, role = response.request.call, response.request.role
        if role == "own" and response.admitted:
            self.loop.post(call.destination, AdmissionRequest(call, "destination"))
        elif role == "tandem" and response.admitted:
            self.send(call, response.exchange)
        elif role == "tandem":
            self.try_next_route(call)
        elif role == "destination" and (response.admitted or self.uses_pools):
            self.find_routes(call)
            self.try_next_route(call)
        else:
            self.block(call)

    def find_routes(self, call: Call) -> None:
        """Lists the direct route if it has free circuits, and decides whether tandems may follow it."""
        if call.destination.has_free_circuits(call.arrival.width):
            call.routes.append(call.destination)
        if call.arrival.transit:
            return
        # The overflow brake: a tandem call loads a third processor, so overflow can spread an overload.
        call.is_braked = (
            not self.uses_pools and self.loop.random() < self.late_share(1.0) / self.MAX_LATE_SHARE
        )
        # Without a direct trunk group a tandem is the ordinary route.
        call.needs_tandems = not call.is_braked or call.destination.group_size <= 0

    def rank_tandems(self, call: Call) -> None:
        """Appends the usable tandems to the call's routes, the best first.

        They are sorted by rising score; at equal scores those known to reach the destination go first, then
        those with most free circuits. The work grows with the number of exchanges, so it is done only for
        calls that need a tandem.
        """
        call.needs_tandems = False
        key = f"pools:{call.arrival.bearer_type}"
        allowed = self.loop.settings.get(key, ()) if self.uses_pools else self.exchanges_by_number
        ranked, circuits = [], call.arrival.width + self.reserved_circuits
        for number, tandem in self.exchanges_by_number.items():
            if number not in allowed or tandem is call.destination or not tandem.has_free_circuits(circuits):
                continue
            statistics = self.statistics.get((call.arrival.destination, tandem.name), self.empty_statistics)
            # Many tandems have no trunk group to the destination; `via` names one that should.
            unproven = not statistics.has_reached_destination and number != call.arrival.via
            if self.loop.now >= statistics.paused_until and not (unproven and call.is_braked):
                ranked.append((statistics.score(self.loop.now), unproven, -tandem.free_circuits, number))
        call.routes.extend(self.exchanges_by_number[row[3]] for row in sorted(ranked))

    def try_next_route(self, call: Call) -> None:
        """Starts the next route try, or blocks the call where no route is left."""
        while call.tries < self.loop.settings.get("route_try_limit", 1):
            if not call.routes and call.needs_tandems:
                self.rank_tandems(call)
            if not call.routes:
                break
            route = call.routes.popleft()
            if route is call.destination:
                self.send(call, route)
                return
            if call.tandem_tries < MAX_TANDEM_TRIES and route.has_free_circuits(
                call.arrival.width + self.reserved_circuits
            ):
                self.loop.post(route, AdmissionRequest(call, "tandem"))
                return
        self.block(call)

    def last_send_at(self, call: Call) -> int:
        """Time from which nothing is sent for the call, as the answer would come after its abandon time."""
        step: int = self.loop.settings.get("step", 0)
        return call.arrival.abandon_at - 2 * step

    def send(self, call: Call, route: Exchange) -> None:
        """Sends a set-up, or blocks the call where none may be sent.

        This is the only place that sends. There is one try at a time, none within the release time and none
        to an exchange that is draining or gone.
        """
        now = self.loop.now
        patience = self.last_send_at(call) - now
        over_budget = (
            call.tries > 0 and self.retry_budget < 1 and self.late_share(1.0) > self.MAX_LATE_SHARE / 5
        )
        if (
            call.pending_route is not None
            or now < call.release_at
            or route.state != "ready"
            or patience <= 0
            or over_budget
        ):
            self.block(call)
            return
        self.retry_budget = min(
            self.MAX_RETRY_BUDGET, self.retry_budget + (-1 if call.tries else self.RETRY_CREDIT)
        )
        early_timeout = route.early_timeout() if self.recent_losses() >= 2 else 0  # one may be chance
        if (
            early_timeout > 0
            and now + early_timeout + self.loop.settings.get("release_time", 0) < call.arrival.abandon_at
        ):
            patience = min(patience, early_timeout)
        call.pending_route, call.sent_at = route, now
        call.tries += 1
        if route is not call.destination:
            call.tandem_tries += 1
        own = self.exchanges_by_number.get(self.own_number, route)
        for exchange in dict.fromkeys((route, own, call.destination)):  # each processes the set-up
            self.loop.post(exchange, SetUpSent(exchange in (route, own)))
        self.loop.actions.append(api.SetUp(call.arrival.call, route.name, patience))

    def block(self, call: Call) -> None:
        """Gives the call up: blocked, or aborted where a try may have been executed (rule 2)."""
        del self.calls[call.arrival.call]
        if self.is_repeatable(call):
            self.refuse(call.arrival, call.attempt)
        else:
            self.remember_unserved(call.arrival, call.attempt)
            self.loop.actions.append(api.Abort(call.arrival.call))

    def refuse(self, arrival: api.CallArrived, attempt: CallerAttempt | None, wait: int = 0) -> None:
        """Blocks the call, with advice when to retry.

        wait: nanoseconds to advise; 0 for the delay that `retry_delay` gives.
        """
        get = self.loop.settings.get
        max_delay = get("come_back_limit", 0) if get("come_back", False) and not arrival.transit else 0
        retry_after = min(max_delay, wait or self.retry_delay(arrival, attempt, max_delay))
        self.remember_unserved(arrival, attempt, retry_after)
        self.loop.actions.append(api.Block(arrival.call, retry_after))

    def retry_delay(self, arrival: api.CallArrived, attempt: CallerAttempt | None, max_delay: int) -> int:
        """Nanoseconds after which the caller of a refused call should retry.

        Short while the caller can still be answered within the GoS target. Later callers get a time slot
        each, so that they return evenly, at a fraction of the rate of the answered calls. When the slots up
        to `max_delay` are taken, the delay is random up to there. Never so long that the caller would have
        given up.
        """
        now, draw = self.loop.now, self.loop.random()
        short_delay = int(self.target * (1 + (draw - 0.5) * self.RETRY_JITTER) / 3)
        first_at = attempt.first_at if attempt is not None and attempt.first_at >= 0 else now
        if now + short_delay < first_at + self.target:
            return short_delay
        abandon_time = self.loop.settings.get(f"abandon_time:{arrival.bearer_type}", 0)
        max_delay = max(short_delay, min(max_delay, first_at + abandon_time - self.target - now))
        # The halved weights hold the answers of 1.5 half-lives on average.
        slot_length = int(1.5 * HALF_LIFE / max(1.0, self.LATE_RETURN_SHARE * sum(self.delays.bins)))
        slot_at = max(self.next_return_slot_at, now + short_delay)
        if slot_at + slot_length > now + max_delay:
            return short_delay + int(draw * (max_delay - short_delay))
        self.next_return_slot_at = slot_at + slot_length
        return slot_at + int(draw * slot_length) - now

    def remember_unserved(
        self, arrival: api.CallArrived, attempt: CallerAttempt | None, retry_after: int = 0
    ) -> None:
        """Records that the call was not set up, to recognise its caller's next try; not in transit."""
        if attempt is not None:
            self.retry_detector.record_unserved(
                self.loop.now, self.request_key(arrival), attempt, retry_after
            )

    def is_repeatable(self, call: Call) -> bool:
        """Whether no try can have been executed, or executing it twice does no harm (rule 2)."""
        effect = self.loop.settings.get(f"effect:{call.arrival.bearer_type}", "safe")
        return not call.may_have_run or effect == "safe"

    # Outcomes of route tries.

    def report_finished(self, route: Exchange, finished: SetUpFinished) -> None:
        """Tells the exchange that the set-up was sent to, and the own one, that it has finished."""
        for exchange in dict.fromkeys((route, self.exchanges_by_number.get(self.own_number, route))):
            self.loop.post(exchange, finished)

    def handle_answer(self, message: api.TryAnswered) -> None:
        """Records an answered try and forgets its call, which is set up."""
        call = self.calls.pop(message.call, None)
        if call is not None:
            route = self.get_exchange(message.exchange)
            self.report_finished(route, SetUpFinished("answered", message.delay))
            self.delays.add(self.loop.now, message.delay / self.target)
            self.route_statistics(call.arrival.destination, route).add(self.loop.now, True, message.delay)
            self.gaps.pop(call.arrival.number, None)

    def handle_try_ended(self, message: api.TryEnded) -> None:
        """Records the outcome of a try; then tries the next route, waits for the release or gives up."""
        route = self.get_exchange(message.exchange)
        self.update_circuits(message)
        call = self.calls.get(message.call)
        if call is None:
            return
        call.pending_route = None
        self.record_outcome(call, route, message)
        if message.done:
            del self.calls[message.call]
            return
        cut_off = message.result in ("timeout", "reset", "cancelled")
        if cut_off:
            call.release_at = self.loop.now + self.loop.settings.get("release_time", 0)
        call.may_have_run |= cut_off or message.result == "error"
        repeatable = self.is_repeatable(call)
        if cut_off or not repeatable or message.cause in ("beyond_full", "processor_full", "lines_busy"):
            call.routes.clear()
            call.needs_tandems = False  # a tandem leads to the same processor and the same number
        in_time = call.release_at < min(call.arrived_at + self.target, self.last_send_at(call))
        if message.result == "timeout" and repeatable and in_time and not call.arrival.transit:
            self.loop.actions.append(api.SetTimer(call.release_at, str(call.arrival.call)))
        else:
            self.try_next_route(call)

    def record_outcome(self, call: Call, route: Exchange, message: api.TryEnded) -> None:
        """Updates what is known of the route, of the exchanges on it and of the called number."""
        # A time-out says something about the route only if an answer would have been late by then.
        conclusive = message.result != "timeout" or message.delay >= self.late_after
        processor_full = message.cause == "processor_full" and message.result != "moot"
        if message.result == "timeout":
            self.handle_no_answer(route, message.delay)
        else:
            self.report_finished(
                route,
                SetUpFinished(
                    "unreachable" if message.result == "connect_failed" else "overloaded" * processor_full
                ),
            )
        if message.cause == "beyond_full":
            self.loop.post(call.destination, SetUpFinished("overloaded", sent_elsewhere=True))
        statistics = self.route_statistics(call.arrival.destination, route)
        if message.cause in ("turned_back", "beyond_full"):
            statistics.pause(self.loop.now)
        if message.cause == "lines_busy":
            self.widen_gap(call.arrival.number)
        elif message.result not in ("moot", "cancelled") and conclusive:
            statistics.add(self.loop.now, False, message.delay)

    def handle_no_answer(self, route: Exchange, elapsed: int) -> None:
        """Counts a set-up that ended without an answer as lost, if it had waited long enough to be late.

        Callers who give up early would otherwise hide late answers; one who gave up before an answer would
        have been late says nothing about the exchange.
        """
        if elapsed >= self.late_after:
            self.lost_setups = self.recent_losses() + 1
        self.report_finished(
            route, SetUpFinished("unanswered" if elapsed >= self.late_after else "", elapsed)
        )

    def widen_gap(self, number: str) -> None:
        """Starts or doubles the gap of a busy number, during which calls to it are refused at once.

        Calls to a busy number load every processor on the way and cannot be served. The gap of a number that
        was answered is removed by `handle_answer`.
        """
        now, (_, length) = self.loop.now, self.gaps.get(number, (0, 0))
        length = min(2 * length, self.MAX_GAP) if length else self.MIN_GAP
        self.gaps = {called: gap for called, gap in self.gaps.items() if now < gap[0] + self.MAX_GAP}
        self.gaps[number] = (now + length, length)


class Controller:
    """Makes the decisions of one call agent; the same seed, settings and events lead to the same actions.

    The agent uses `retry_detector` (detection of further tries) and `relative_revenue` (expected revenue of a
    call) before it passes a call on.
    """

    def __init__(self, seed: int, settings: api.Settings) -> None:
        self._loop = Loop(seed, settings)
        self._router = CallRouter(self._loop)
        self.retry_detector, self.relative_revenue = (
            self._router.retry_detector,
            self._router.relative_revenue,
        )

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Handles the events in order and returns the resulting actions; `now` is in nanoseconds."""
        loop = self._loop
        loop.now = now
        for event in events:
            loop.post(self._router, event)
            loop.run()
        actions, loop.actions = loop.actions, []
        return actions
