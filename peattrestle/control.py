"""Every decision of peattrestle: which way a call is set up, and whether it is set up at all.

Callers make one `Controller(seed, settings)` for each call agent and hand it each batch of events with
`handle(now, events)`, which returns the actions in order. The types of both are in `interface.py`. Settings
are a flat map of names to values ('gos_target:NAME' is that of one bearer type); times are nanoseconds.

The ordinary path is the design's (docs/design.md): direct while the own group has room, else up to two
tandems by rising score with a leg margin. Beside it stand these mechanisms, six at most:

1. cold budget: an exchange that has just started gets no more than this agent's share of what fells it;
2. window: set-ups out to an exchange that answers late, full or not at all are kept few, by chance; so are
   all set-ups from here while many answers are late;
3. tandem pause: a tandem that has no room to a destination gets no call for there for a span or more;
4. overflow brake: as answers get late or missing, fewer calls overflow to tandems, and none blindly;
5. early time-out: while set-ups get lost, an unanswered one is given up in time for one more try;
6. called-number gap: calls to a number whose lines are all busy are turned away for a while.

Each exchange is an actor with an inbox, the own one too; `Home` keeps the calls. To set a call up, Home
offers it by notes to the own exchange, to the destination and to a tandem in turn; each takes or declines.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from peattrestle import interface as api
from peattrestle.storms.sight import RequestKey, Seen, Sight

SECOND = 1_000_000_000

# The design page's starting values, all marked there as ours and open.
SLOT = SECOND
SPAN_SLOTS = 10
FEWEST_SETUPS = 5
WARNING, CRITICAL = 1, 10
ANSWER_RATIO_WARNING, ANSWER_RATIO_CRITICAL = 0.8, 0.5
DELAY_WARNING, DELAY_CRITICAL = SECOND, 3 * SECOND
ANSWER_RATIO_WEIGHT = DELAY_WEIGHT = 1
MOST_TANDEMS = 2
LEG_MARGIN = 2

HALVE_EVERY = 4 * SECOND  # what is measured beside the design fades by half in this time


@dataclass(slots=True)
class Offer:
    """Home asks an exchange to let a call through; `role` is 'own', 'destination' or 'tandem'."""

    call: Call
    role: str


@dataclass(slots=True)
class Answer:
    """The exchange lets the call through, or does not."""

    offer: Offer
    exchange: Exchange
    taken: bool


@dataclass(slots=True)
class Sent:
    """A set-up went out to this exchange (`out`), or starts here, or leads on to here."""

    out: bool


@dataclass(slots=True)
class Settled:
    """A set-up there stands or has ended; `how`: 'stood', 'pressed', 'missed', 'down', or '' tells nothing.

    It is `elsewhere` where another exchange's set-up told of this one.
    """

    how: str = ""
    waited: int = 0
    elsewhere: bool = False


Note = Offer | Answer | Sent | Settled | api.Entry | api.Event


class Actor:
    """Something with an inbox; only the loop empties it."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.inbox: deque[Note] = deque()

    def receive(self, note: Note) -> None:
        raise NotImplementedError


class Loop:
    """Delivers notes in the order they were put; also what all actors share: clock, chance, actions."""

    def __init__(self, seed: int, settings: api.Settings) -> None:
        self.settings = settings
        self.now = 0
        self.actions: list[api.Action] = []
        self._state = seed & 0xFFFFFFFFFFFFFFFF
        self._waiting: deque[Actor] = deque()
        self._log_at = 0

    def put(self, actor: Actor, note: Note) -> None:
        actor.inbox.append(note)
        self._waiting.append(actor)

    def run(self) -> None:
        while self._waiting:
            actor = self._waiting.popleft()
            actor.receive(actor.inbox.popleft())

    def log(self, text: str) -> None:
        if self.now >= self._log_at:  # where many are in trouble, one line a span tells as much as all
            self._log_at = self.now + SPAN_SLOTS * SLOT
            self.actions.append(api.Log(text))

    def chance(self) -> float:
        """Knuth's MMIX generator; the low bits of such a generator repeat soon, so the high ones are used."""
        self._state = (self._state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return (self._state >> 40) / (1 << 24)


@dataclass(slots=True)
class Slot:
    """One sampling interval of the design's statistics for a destination and route."""

    index: int
    setups: int = 0
    stood: int = 0
    delay: int = 0


class RouteRecord:
    """Answer ratio and set-up delay of one destination and route over the design's span."""

    __slots__ = ("slots", "paused_until", "turned_back", "reaches")

    def __init__(self) -> None:
        self.slots: deque[Slot] = deque()
        self.paused_until = 0
        self.turned_back = 0
        self.reaches = False

    def note(self, now: int, stood: bool, delay: int) -> None:
        index = now // SLOT
        self.rotate(index)
        if not self.slots or self.slots[-1].index != index:
            self.slots.append(Slot(index))
        slot = self.slots[-1]
        slot.setups += 1
        slot.stood += stood
        slot.delay += delay
        self.reaches |= stood
        self.turned_back *= not stood

    def pause(self, now: int) -> None:
        """Guards against tandems without a way on: only the calls they turn back tell of their groups.

        Few set-ups fall to one destination and tandem: the five that a score needs would come too late.
        One that never set a call up to there may have no group at all, so it waits longer each time.
        """
        self.paused_until = now + SPAN_SLOTS * SLOT * 2 ** min(self.turned_back, 5)
        self.turned_back += not self.reaches

    def rotate(self, index: int) -> None:
        while self.slots and self.slots[0].index <= index - SPAN_SLOTS:
            self.slots.popleft()

    def score(self, now: int) -> int:
        self.rotate(now // SLOT)
        setups = sum(slot.setups for slot in self.slots)
        if setups < FEWEST_SETUPS:
            return 0
        ratio = sum(slot.stood for slot in self.slots) / setups
        delay = sum(slot.delay for slot in self.slots) / setups
        score = 0
        if ratio < ANSWER_RATIO_WARNING:
            score += ANSWER_RATIO_WEIGHT * (CRITICAL if ratio < ANSWER_RATIO_CRITICAL else WARNING)
        if delay > DELAY_WARNING:
            score += DELAY_WEIGHT * (CRITICAL if delay > DELAY_CRITICAL else WARNING)
        return score


class DelayHistogram:
    """Set-up delays at one exchange, in shares of the GoS target, halved so that old ones fade."""

    EDGES = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.75, 1.0)
    FEWEST = 3.0

    __slots__ = ("bins", "halve_at")

    def __init__(self) -> None:
        self.bins = [0.0] * (len(self.EDGES) + 1)
        self.halve_at = 0

    def note(self, now: int, share: float) -> None:
        if now >= self.halve_at:
            self.bins = [one / 2 for one in self.bins]
            self.halve_at = now + HALVE_EVERY
        self.bins[bisect_left(self.EDGES, share)] += 1

    def above(self, share: float) -> float:
        return sum(self.bins[bisect_left(self.EDGES, share) + 1 :])

    def quantile(self, part: float) -> float:
        """The upper edge of the bin that the part falls in; above the last edge, or of too few: infinite."""
        total, below = sum(self.bins), 0.0
        for edge, weight in zip(self.EDGES, self.bins, strict=False):
            below += weight
            if below >= part * max(total, self.FEWEST):
                return edge
        return inf


class Exchange(Actor):
    """What is known of one exchange, and whether a call may be sent through it now."""

    WINDOW_START = 4.0  # enough to begin with; a few answers in time widen it
    WINDOW_LEAST = 0.05  # below 1 a call goes by this chance though none is out
    REOPEN = 0.1  # of a window a second: with few calls nothing else would tell that it is over
    CUT = 0.5
    OWN_STEP = 0.05  # of the own window, which holds all set-ups from here, at each answer
    CUT_EVERY = SECOND // 2  # what was sent before a cut says nothing about the cut
    SOON = 0.9  # share of the answered set-ups that must have come soon, by twice, to give up early

    def __init__(self, loop: Loop, home: Home, name: str) -> None:
        super().__init__(loop)
        self.home = home
        self.name = name
        self.number = -1
        self.state = "gone"
        self.cold_until = 0
        self.told_at, self.phase = 0, 0.0  # where in its window the agent starts
        self.free, self.size = 0, -1
        self.sent: deque[int] = deque()
        self.out, self.window = 0, self.WINDOW_START
        self.cut_at = self.heard_at = 0
        self.delays = DelayHistogram()

    def receive(self, note: Note) -> None:
        match note:
            case Offer():
                self.loop.put(self.home, Answer(note, self, self.lets(note)))
            case Sent(out):
                self.out += out
                if self.loop.now < self.cold_until:
                    self.sent.append(self.loop.now)
            case Settled():
                self.out -= not note.elsewhere
                self.judge(note)
            case api.Entry():
                self.told(note)
            case api.Reported() | api.TryEnded():
                self.free = int(note.load.get("free", self.free))
                self.size = int(note.load.get("size", self.size))
                self.home.able = max(self.home.able, note.load.get("rate", 0.0))

    def told(self, entry: api.Entry) -> None:
        if self.number < 0 and entry.number == self.home.own_number:
            self.window = 2 * self.WINDOW_START  # restarted in a storm it must not be the burst
        self.number, self.state = entry.number, entry.state
        cold_until = entry.started_at + self.loop.settings.get("cold_time", 0) if entry.started_at else 0
        if cold_until > self.cold_until:
            self.cold_until = cold_until
            self.told_at, self.phase = self.loop.now, self.loop.chance()

    def judge(self, note: Settled) -> None:
        """The window grows by one for each windowful in time; it shrinks by a share, once for each queue."""
        now = self.loop.now
        in_time = note.how == "stood" and note.waited <= self.home.late
        if self.number == self.home.own_number:
            # Guards against a network that stays jammed by its callers' repeats when what jammed it is over.
            if in_time:
                self.window = min(self.home.window_most(1), self.window * (1 + self.OWN_STEP))
            elif note.how in ("stood", "missed") and self.home.strain(0.25) > self.home.STRAIN_MOST:
                self.window = max(1.0, min(self.window, self.out + 1) * (1 - self.OWN_STEP))
            return
        if note.how == "stood":
            self.delays.note(now, note.waited / self.home.target)
        if in_time:
            self.heard_at = now
            most = self.home.window_most(self.home.peers)
            self.window = min(most, self.window + min(self.window, 1 / self.window))
        elif note.how == "missed" and now - note.waited < self.heard_at:
            pass  # lost alone, or the exchange would not have answered later set-ups in time
        elif note.how == "down":
            self.window = self.WINDOW_LEAST  # nothing listens there, whatever the list still says
            self.cut_at = now + self.CUT_EVERY
        elif note.how and now >= self.cut_at:
            self.window = max(self.WINDOW_LEAST, self.window * self.CUT)
            self.cut_at = now + self.CUT_EVERY
            self.loop.log(f"exchange {self.number}: pressed")

    def lets(self, offer: Offer) -> bool:
        own = offer.role == "own"  # it may drain or lag: its callers have no other, and nothing is sent to it
        if (not own and self.state != "ready") or self.pressed(offer.call):
            return False
        return self.loop.now >= self.cold_until or self.cold_room(own)

    def patience(self) -> int:
        """Guards against set-ups that get lost: where nearly all stand soon, the rest are not waited for.

        The GoS target must hold the release time and a second try too; a slow exchange is waited for.
        """
        target = self.home.target
        few = sum(self.delays.bins) < DelayHistogram.FEWEST  # then what is common to all stands in
        most = min(1.0, (self.home if few else self).delays.quantile(self.SOON)) * target
        patience = target - self.loop.settings.get("release_time", 0) - most
        return int(patience) if patience >= 2 * most else 0

    def has_room(self, circuits: int) -> bool:
        """A group nothing is known of yet is tried: the wire turns a set-up without circuits back unsent."""
        own = self.number == self.home.own_number
        return self.state == "ready" and not own and (self.size < 0 or self.free >= circuits)

    def cold_room(self, own: bool) -> bool:
        """Guards rule 4: all agents may take the same step at once, so each keeps to its part of the budget.

        Every call has two ends, so half of an exchange's set-ups start there: that half is for its own agent.
        How it warms is told only for start and end, so half of a steady growth is counted on.
        """
        get = self.loop.settings.get
        rate = self.home.circuits / self.home.holding
        if self.home.able:  # groups may be larger than what the processors behind them can set up
            rate = min(rate, self.home.able / SECOND)
        carried = rate * get("fall_time", 0)
        least, left = get("cold_from", 1), (self.cold_until - self.loop.now) / max(1, get("cold_time", 0))
        budget: float = get("fall_multiple", 1) * (least + (1 - least) / 2 * (1 - left)) * carried / 2
        share = max(0.01, budget if own else budget / self.home.peers)
        window: float = get("fall_time", 0) / min(1.0, share)  # under one: one in longer
        while self.sent and self.sent[0] <= self.loop.now - window:
            self.sent.popleft()
        # Many agents are told together, and restarted ones forget: a first one each would be a burst.
        before = self.told_at - window * self.phase > self.loop.now - window
        return len(self.sent) + before < max(1, int(share))

    def pressed(self, call: Call) -> bool:
        """Guards against a processor that is slow, swamped, silent or cut off, whatever the cause.

        Set-ups not yet answered are all that every agent can see of each; those of all agents together are
        the queue there. Cheaper calls get a smaller part of the window, so they are turned away more often.
        """
        if self.window < 1 and self.loop.now > self.cut_at:
            self.window = min(1.0, self.window + self.REOPEN * (self.loop.now - self.cut_at) / SECOND)
            self.cut_at = self.loop.now
        worth = self.home.worth(call.asked, call.seen)
        over = self.out + 1 - self.window * worth
        return over > 0 and self.loop.chance() < over


@dataclass(slots=True)
class Call:
    """A call this agent answers for; the only keeper of what may still be sent or said for it."""

    asked: api.CallArrived
    arrived: int
    destination: Exchange
    seen: Seen | None = None  # first or further try of its caller; None in transit
    routes: deque[Exchange] = field(default_factory=deque)
    out: Exchange | None = None  # the exchange that the one route try is out to
    tries: int = 0
    release_at: int = 0  # rule 5: no send before this
    may_have_run: bool = False  # rule 2 for bearer types that are not safe to repeat
    tandem_tries: int = 0
    sent_at: int = 0
    unranked: bool = False  # its tandems are still to be ranked, should it come to them
    braked: bool = False


class Home(Actor):
    """The own exchange's side: calls, routes, the design's records; the one place that sends and answers."""

    STRAIN_MOST = 0.25  # from this share of late answers on, no call overflows and the own window shrinks
    FURTHER, FURTHER_MOST = 0.1, 10.0  # further route tries for each first one, and how many may be saved up
    RETURNS = 0.2  # late callers come back at this share of the calls that stand
    JITTER = 0.4  # of a third of the GoS target: what was turned away together comes back apart
    GAP_FIRST, GAP_MOST = SECOND, 8 * SECOND  # a line comes free within about a holding time

    def __init__(self, loop: Loop) -> None:
        super().__init__(loop)
        get = loop.settings.get
        self.exchanges: dict[str, Exchange] = {}
        self.numbers: dict[int, Exchange] = {}
        self.able = 0.0  # most set-ups a second that any exchange has reported
        self.circuits = 0  # in all own groups; over the holding time, what a like exchange carries
        self.calls: dict[int, Call] = {}
        self.records: dict[tuple[int, str], RouteRecord] = {}
        self.untried = RouteRecord()
        self.gaps: dict[str, tuple[int, int]] = {}  # number: until, length
        self.own_number: int = get("own_number", -1)
        self.peers: int = max(1, get("agents", 1) - 1)
        # Guards direct calls: with more tandems to choose from and thinner groups, no leg need give its last.
        self.margin = max(LEG_MARGIN, int(get("agents", 1) ** 0.5))
        self.pools: bool = get("topology", "mesh") == "pools"
        types: tuple[str, ...] = get("bearer_types", ())
        self.target = min((int(get(f"gos_target:{one}", SECOND)) for one in types), default=SECOND)
        self.revenue = {one: float(get(f"revenue:{one}", 1.0)) for one in types}
        self.mean_revenue = sum(self.revenue.values()) / max(1, len(types)) or 1.0
        self.further = self.FURTHER_MOST
        self.slot_at = 0  # the last slot given to a caller who comes back late
        self.late = min(self.target // 2, get("repeat_gap", 0) or self.target)  # a repeat sets up nothing
        self.holding = max((int(get(f"holding:{one}", SECOND)) for one in types), default=SECOND)
        self.delays = DelayHistogram()
        self.followed = False
        self.lost, self.lost_halved_at = 0.0, 0
        self.sight = Sight(max((int(get(f"abandon_time:{one}", SECOND)) for one in types), default=SECOND))

    def receive(self, note: Note) -> None:
        match note:
            case api.CallArrived():
                self.arrive(note)
            case Answer():
                self.answered(note)
            case api.Stood():
                self.stood(note)
            case api.TryEnded():
                self.try_ended(note)
            case api.Reported():
                self.figures(note)
            case api.Listed():
                self.listed(note)
            case api.TimerDue(token):
                self.timer(token)
            case api.CallerLeft():
                if (gone := self.calls.pop(note.call, None)) is not None:
                    self.unserved(gone.asked, gone.seen)
                    if gone.out is not None:
                        self.unanswered(gone.out, self.loop.now - gone.sent_at)

    def exchange(self, name: str) -> Exchange:
        if name not in self.exchanges:
            self.exchanges[name] = Exchange(self.loop, self, name)
        return self.exchanges[name]

    def listed(self, note: api.Listed) -> None:
        for one in list(self.exchanges.values()):
            if one.state == "gone" and self.numbers.get(one.number) is not one:  # its group is another's now
                self.circuits -= max(0, self.exchanges.pop(one.name).size)
        self.records = {key: kept for key, kept in self.records.items() if key[1] in self.exchanges}
        if note.form in ("full", "cached"):
            present = {entry.exchange for entry in note.entries}
            for one in self.exchanges.values():
                if one.name not in present:
                    self.loop.put(one, api.Entry(one.name, one.number, "gone"))
        for entry in note.entries:
            one = self.exchange(entry.exchange)
            if entry.state == "ready" or entry.number not in self.numbers:
                self.numbers[entry.number] = one  # a replacement has the number of the exchange it replaces
            self.loop.put(one, entry)
        asks = self.loop.settings.get("discovery", "push") == "ask"
        if asks and not self.followed:
            self.followed = True
            self.loop.actions.append(api.FollowList())
        elif asks and note.form == "failed":  # by chance: agents that failed together should not ask together
            self.loop.actions.append(api.SetTimer(self.loop.now + int(self.loop.chance() * SECOND), "follow"))

    def timer(self, token: str) -> None:
        if token == "follow":
            self.loop.actions.append(api.FollowList())
        elif token.isdigit() and (call := self.calls.get(int(token))) is not None and call.out is None:
            self.offer(call)

    def worth(self, asked: api.CallArrived, seen: Seen | None) -> float:
        """Of the mean revenue. Guards first calls against further tries that can no longer stand in time."""
        name, first_at = asked.bearer_type, seen.first_at if seen is not None else -1
        late = 0 <= first_at < self.loop.now - self.target
        share: float = self.loop.settings.get(f"late_revenue:{name}", 1.0) if late else 1.0
        return share * self.revenue.get(name, 1.0) / self.mean_revenue

    def losses(self) -> float:
        """Set-ups that got no answer lately, at any exchange; halved, so that old ones fade."""
        halvings = (self.loop.now - self.lost_halved_at) // HALVE_EVERY
        self.lost /= 2 ** min(halvings, 20)
        self.lost_halved_at += halvings * HALVE_EVERY
        return self.lost

    def strain(self, missing_part: float) -> float:
        """The share of late answers: none sees how busy the others are, but all its answers together tell."""
        late, missing = self.delays.above(self.late / self.target), self.losses() * missing_part
        return (late + missing) / max(DelayHistogram.FEWEST, sum(self.delays.bins) + missing)

    def figures(self, note: api.Reported | api.TryEnded) -> None:
        one = self.exchange(note.exchange)
        self.circuits += max(0, int(note.load.get("size", one.size))) - max(0, one.size)
        self.loop.put(one, note)

    def window_most(self, agents: int) -> float:
        """All agents' windows together: what an exchange like the own one sets up within the GoS target."""
        return max(Exchange.WINDOW_START, self.circuits * self.target / self.holding / agents)

    def record(self, destination: int, route: Exchange) -> RouteRecord:
        return self.records.setdefault((destination, route.name), RouteRecord())

    def arrive(self, asked: api.CallArrived) -> None:
        destination = self.numbers.get(asked.destination)
        until, _ = self.gaps.get(asked.number, (0, 0))
        seen = (
            None
            if asked.transit
            else asked.seen
            or self.sight.asked(self.loop.now, self.wanted(asked), asked.repeat, asked.cut_before)
        )
        if destination is None or asked.destination == self.own_number and asked.transit or asked.held:
            # Nowhere to go, or over its gateway's share. Callers whose agent is away call here by a tandem.
            self.refuse(asked, seen)
        elif self.loop.now < until and not asked.transit:
            self.refuse(asked, seen, until - self.loop.now)
        else:
            if asked.transit and (origin := self.numbers.get(asked.via)) is not None:
                # That exchange has no room to the destination, or it would not have sent the call this way.
                self.record(asked.destination, origin).pause(self.loop.now)
            self.calls[asked.call] = Call(asked, self.loop.now, destination, seen)
            self.offer(self.calls[asked.call])

    @staticmethod
    def wanted(asked: api.CallArrived) -> RequestKey:
        return asked.gateway or asked.customer, asked.bearer_type, asked.destination, asked.number

    def offer(self, call: Call) -> None:
        """The first question, also when a lost try is made again: may the call be set up at all?"""
        own = self.numbers.get(self.own_number)
        self.loop.put(own or call.destination, Offer(call, "own" if own else "destination"))

    def answered(self, note: Answer) -> None:
        call, role = note.offer.call, note.offer.role
        if role == "own" and note.taken:
            self.loop.put(call.destination, Offer(call, "destination"))
        elif role == "tandem" and note.taken:
            self.send(call, note.exchange)
        elif role == "tandem":
            self.next_route(call)
        elif role == "destination" and (note.taken or self.pools):
            self.find_routes(call)
            self.next_route(call)
        else:
            self.block(call)

    def find_routes(self, call: Call) -> None:
        """The design's order: direct, then tandems, which are ranked only when the call comes to them."""
        if call.destination.has_room(call.asked.width):
            call.routes.append(call.destination)
        if call.asked.transit:
            return
        # Guards against a network tipped over by tandems: an overflowing call costs a third processor.
        call.braked = not self.pools and self.loop.chance() < self.strain(1.0) / self.STRAIN_MOST
        call.unranked = not call.braked or call.destination.size <= 0  # no group: the ordinary way

    def rank_tandems(self, call: Call) -> None:
        """By rising score, ties to the leg with most free. Looks at all exchanges; direct calls never do."""
        call.unranked = False
        key = f"pools:{call.asked.bearer_type}"
        allowed = self.loop.settings.get(key, ()) if self.pools else self.numbers
        ranked, circuits = [], call.asked.width + self.margin
        for number, one in self.numbers.items():
            if number not in allowed or one is call.destination or not one.has_room(circuits):
                continue
            record = self.records.get((call.asked.destination, one.name), self.untried)
            blind = not record.reaches and number != call.asked.via  # many have no group to there
            if self.loop.now >= record.paused_until and not (blind and call.braked):
                ranked.append((record.score(self.loop.now), blind, -one.free, number))
        call.routes.extend(self.numbers[row[3]] for row in sorted(ranked))

    def next_route(self, call: Call) -> None:
        """Offers the call to its next route, or gives it up at once when there is none."""
        while call.tries < self.loop.settings.get("route_try_limit", 1):
            if not call.routes and call.unranked:
                self.rank_tandems(call)
            if not call.routes:
                break
            route = call.routes.popleft()
            if route is call.destination:
                self.send(call, route)
                return
            if call.tandem_tries < MOST_TANDEMS and route.has_room(call.asked.width + self.margin):
                self.loop.put(route, Offer(call, "tandem"))
                return
        self.block(call)

    def last_send_at(self, call: Call) -> int:
        """Nothing is sent for a call from then on: its answer would come too late."""
        step: int = self.loop.settings.get("step", 0)
        return call.asked.abandon_at - 2 * step

    def send(self, call: Call, route: Exchange) -> None:
        """The only place that sends: one try out, none in the release time, none to a leaving exchange."""
        now = self.loop.now
        patience = self.last_send_at(call) - now
        spent = call.tries > 0 and self.further < 1 and self.strain(1.0) > self.STRAIN_MOST / 5
        if call.out is not None or now < call.release_at or route.state != "ready" or patience <= 0 or spent:
            self.block(call)
            return
        self.further = min(self.FURTHER_MOST, self.further + (-1 if call.tries else self.FURTHER))
        early = route.patience() if self.losses() >= 2 else 0  # one may be chance
        if early > 0 and now + early + self.loop.settings.get("release_time", 0) < call.asked.abandon_at:
            patience = min(patience, early)
        call.out, call.sent_at = route, now
        call.tries += 1
        if route is not call.destination:
            call.tandem_tries += 1
        own = self.numbers.get(self.own_number, route)
        for one in dict.fromkeys((route, own, call.destination)):  # all have work of it
            self.loop.put(one, Sent(one in (route, own)))
        self.loop.actions.append(api.SetUp(call.asked.call, route.name, patience))

    def block(self, call: Call) -> None:
        """Gives a call up. A try that may have run must not be called blocked (rule 2)."""
        del self.calls[call.asked.call]
        if self.repeatable(call):
            self.refuse(call.asked, call.seen)
        else:
            self.unserved(call.asked, call.seen)
            self.loop.actions.append(api.Abort(call.asked.call))

    def refuse(self, asked: api.CallArrived, seen: Seen | None, wait: int = 0) -> None:
        get = self.loop.settings.get
        most = get("come_back_limit", 0) if get("come_back", False) and not asked.transit else 0
        come_back = min(most, wait or self.come_back(asked, seen, most))
        self.unserved(asked, seen, come_back)
        self.loop.actions.append(api.Block(asked.call, come_back))

    def come_back(self, asked: api.CallArrived, seen: Seen | None, most: int) -> int:
        """Soon while the caller may yet stand in time; then in a slot, so that late ones come evenly.

        The slots are a share of the calls that stand lately; when they are full up to `most`, any time to
        there. Never a time after which the caller would have given up.
        """
        now, chance = self.loop.now, self.loop.chance()
        wait = int(self.target * (1 + (chance - 0.5) * self.JITTER) / 3)
        first_at = seen.first_at if seen is not None and seen.first_at >= 0 else now
        if now + wait < first_at + self.target:
            return wait
        lasting = self.loop.settings.get(f"abandon_time:{asked.bearer_type}", 0)
        most = max(wait, min(most, first_at + lasting - self.target - now))
        each = int(1.5 * HALVE_EVERY / max(1.0, self.RETURNS * sum(self.delays.bins)))
        slot = max(self.slot_at, now + wait)
        if slot + each > now + most:
            return wait + int(chance * (most - wait))
        self.slot_at = slot + each
        return slot + int(chance * each) - now

    def unserved(self, asked: api.CallArrived, seen: Seen | None, come_back: int = 0) -> None:
        if seen is not None:
            self.sight.unserved(self.loop.now, self.wanted(asked), seen, come_back)

    def repeatable(self, call: Call) -> bool:
        """Rule 2: nothing of it may have run, or running twice does no harm."""
        effect = self.loop.settings.get(f"effect:{call.asked.bearer_type}", "safe")
        return not call.may_have_run or effect == "safe"

    # What became of a route try.

    def settled(self, route: Exchange, note: Settled) -> None:
        for one in dict.fromkeys((route, self.numbers.get(self.own_number, route))):
            self.loop.put(one, note)

    def stood(self, note: api.Stood) -> None:
        call = self.calls.pop(note.call, None)
        if call is not None:
            route = self.exchange(note.exchange)
            self.settled(route, Settled("stood", note.delay))
            self.delays.note(self.loop.now, note.delay / self.target)
            self.record(call.asked.destination, route).note(self.loop.now, True, note.delay)
            self.gaps.pop(call.asked.number, None)

    def try_ended(self, note: api.TryEnded) -> None:
        route = self.exchange(note.exchange)
        self.figures(note)
        call = self.calls.get(note.call)
        if call is None:
            return
        call.out = None
        self.learn(call, route, note)
        if note.done:
            del self.calls[note.call]
            return
        cut_off = note.result in ("timeout", "reset", "cancelled")
        if cut_off:
            call.release_at = self.loop.now + self.loop.settings.get("release_time", 0)
        call.may_have_run |= cut_off or note.result == "error"
        safe = self.repeatable(call)
        if cut_off or not safe or note.cause in ("beyond_full", "processor_full", "lines_busy"):
            call.routes.clear()
            call.unranked = False  # a tandem leads to the same processor and the same number
        in_time = call.release_at < min(call.arrived + self.target, self.last_send_at(call))
        if note.result == "timeout" and safe and in_time and not call.asked.transit:
            self.loop.actions.append(api.SetTimer(call.release_at, str(call.asked.call)))
        else:
            self.next_route(call)

    def learn(self, call: Call, route: Exchange, note: api.TryEnded) -> None:
        """What the outcome tells of the route, the exchanges on it and the number."""
        told = note.result != "timeout" or note.delay >= self.late
        full = note.cause == "processor_full" and note.result != "moot"
        if note.result == "timeout":
            self.unanswered(route, note.delay)
        else:
            self.settled(route, Settled("down" if note.result == "connect_failed" else "pressed" * full))
        if note.cause == "beyond_full":
            self.loop.put(call.destination, Settled("pressed", elsewhere=True))
        record = self.record(call.asked.destination, route)
        if note.cause in ("turned_back", "beyond_full"):
            record.pause(self.loop.now)
        if note.cause == "lines_busy":
            self.widen_gap(call.asked.number)
        elif note.result not in ("moot", "cancelled") and told:
            record.note(self.loop.now, False, note.delay)

    def unanswered(self, route: Exchange, waited: int) -> None:
        """Callers who leave early hide how late answers are; one who left too soon to tell says nothing."""
        if waited >= self.late:
            self.lost = self.losses() + 1
        self.settled(route, Settled("missed" if waited >= self.late else "", waited))

    def widen_gap(self, number: str) -> None:
        """Guards against a hot number: its callers' repeats cost every processor on the way, for nothing."""
        now, (_, length) = self.loop.now, self.gaps.get(number, (0, 0))
        length = min(2 * length, self.GAP_MOST) if length else self.GAP_FIRST
        self.gaps = {one: gap for one, gap in self.gaps.items() if now < gap[0] + self.GAP_MOST}
        self.gaps[number] = (now + length, length)


class Controller:
    """One call agent's decisions."""

    def __init__(self, seed: int, settings: api.Settings) -> None:
        self._loop = Loop(seed, settings)
        self._home = Home(self._loop)
        self.sight, self.worth = self._home.sight, self._home.worth  # for what stands before the module

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        loop = self._loop
        loop.now = now
        for event in events:
            loop.put(self._home, event)
            loop.run()
        actions, loop.actions = loop.actions, []
        return actions
