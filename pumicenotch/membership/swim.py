"""One member's knowledge of all: it probes one other a period, asks some to help where that is silent,
suspects, and buries. News travels with the probes. A member that is slow itself judges others more slowly
(Lifeguard).
"""

import math
from collections.abc import Iterable, Mapping
from typing import Any, ClassVar

from pumicenotch.membership.messages import (
    NEWS_MOST,
    Ack,
    Changed,
    Effect,
    Help,
    Message,
    Nack,
    News,
    Opinion,
    Ping,
    Refused,
    Send,
    Standing,
    Wake,
    Who,
    Whole,
)


class Suspicion:
    """Runs out sooner the more others share it: from the longest time to the shortest (Lifeguard, 4.2)."""

    CONFIRMED = 3  # by so many others the shortest time holds: all that are there, in a small fleet

    def __init__(self, now: float, shortest: float, longest: float, by: str, others: int) -> None:
        self.began, self.shortest, self.longest, self.by = now, shortest, longest, {by}
        self.wanted = min(self.CONFIRMED, others)

    @property
    def due(self) -> float:
        if self.wanted < 1:
            return self.began + self.shortest
        part = math.log(len(self.by)) / math.log(self.wanted + 1)
        return self.began + max(self.shortest, self.longest - part * (self.longest - self.shortest))


class Members:
    PERIOD_MS = (
        1000.0  # between probes of this member; each of n is probed once a period on average
    )
    ANSWER_MS = (
        300.0  # for a direct answer, before others are asked to help: many times a round trip
    )
    HELPERS = 3  # SWIM's k: a probe fails by chance only if all of their ways lose it too
    SLOW_MOST = 8  # Lifeguard's bound on how much slower a member in trouble judges
    SUSPECT_PERIODS = 4.0  # shortest time a suspicion lasts, times the logarithm of the members
    SUSPECT_SPREAD = 6.0  # its longest is so many times the shortest
    SPREAD = 3  # news is handed on so many times the logarithm: SWIM's lambda
    PAGE_PERIODS = (
        15  # between exchanges of everything with one other: heals what gossip has missed
    )
    SEEDED = 4  # exchanges that go to seeds after the first: processes started together meet there
    FORGET_MS = 86_400_000.0  # the dead stay known for a day: a fleet's page shows who is missing

    def __init__(self, me: Who, now: float, seeds: Iterable[str], chance: Any) -> None:
        """`seeds` are addresses to join by; `chance` is a seeded random.Random."""
        self.me, self.now, self.chance = me, now, chance
        self.seeds = [seed for seed in seeds if seed != me.address]
        self.effects: list[Effect] = []
        self.standing, self.incarnation = Standing.JOINING, 1
        self.news: dict[str, News] = {}  # of others, by name
        self.since: dict[str, float] = {}  # when what is thought of each last changed
        self.suspicions: dict[str, Suspicion] = {}
        self.spread: dict[str, int] = {}  # name -> how often its news was handed on
        self.extras: dict[
            str, tuple[Any, ...]
        ] = {}  # by their key: what other parts have handed on
        self.order: list[str] = []  # of those still to probe in this round
        self.slow = 0  # Lifeguard's local health: 0 is well
        self.number = 0
        self.probe: tuple[int, str, float, bool] | None = (
            None  # number, whom, until, whether helped
        )
        # still expected from helpers of the probe, and whether any was asked
        self.nacks, self.helped = 0, False
        self.helping: dict[
            int, tuple[str, int, float]
        ] = {}  # my number -> for whom, its number, until
        self.next_at = now
        self.page_at, self.pages_told = now, 0
        self.refused = 0  # of messages that did not fit

    INPUTS: ClassVar = frozenset(("time", "message", "stand"))

    def step(self, now: float, name: str, *details: Any) -> list[Effect]:
        """One input: `time`, `message` (address to answer at, message), `stand` (standing)."""
        self.now = max(self.now, now)
        assert name in self.INPUTS, name
        getattr(self, name)(*details)
        effects, self.effects = self.effects, []
        effects.append(Wake(self.due()))
        return effects

    def due(self) -> float:
        found = [self.next_at]
        if self.probe is not None:
            found.append(self.probe[2])
        found += [until for _, _, until in self.helping.values()]
        found += [suspicion.due for suspicion in self.suspicions.values()]
        return min(found)

    # What is thought

    def opinion(self, name: str) -> Opinion:
        return self.news[name].opinion if name in self.news else Opinion.DEAD

    def alive(self) -> list[str]:
        """Whom nobody has buried, without this one."""
        return [
            name
            for name, news in self.news.items()
            if news.opinion is not Opinion.DEAD and news.standing is not Standing.OUT
        ]

    def mine(self) -> News:
        return News(self.me, self.incarnation, self.standing, Opinion.ALIVE, self.me.name)

    def periods(self) -> float:
        return max(1.0, math.log10(max(1, len(self.news) + 1)))

    # Time

    def time(self) -> None:
        for number, (address, theirs, until) in list(self.helping.items()):
            if self.now >= until:
                del self.helping[number]
                self.send(address, Nack(theirs))
        for name, suspicion in list(self.suspicions.items()):
            if self.now >= suspicion.due:
                self.heard(self.news[name]._replace(opinion=Opinion.DEAD, by=self.me.name))
        if self.probe is not None and self.now >= self.probe[2]:
            self.unanswered()
        if self.now >= self.next_at:
            self.next_at = self.now + self.PERIOD_MS * (1 + self.slow)
            self.probe_next()
            if self.now >= self.page_at:
                # Sooner at first: whoever has just come knows few, and few know it.
                periods = min(self.PAGE_PERIODS, 2.0**self.pages_told)
                self.page_at, self.pages_told = (
                    self.now + periods * self.PERIOD_MS,
                    self.pages_told + 1,
                )
                self.exchange()
            self.forget()

    def forget(self) -> None:
        for name, news in list(self.news.items()):
            if news.opinion is Opinion.DEAD and self.now - self.since[name] > self.FORGET_MS:
                del self.news[name], self.since[name]
                self.spread.pop(name, None)

    def exchange(self) -> None:
        """Pages with one other: with seeds at first, so that no two islands form; then in turn with somebody
        by chance, with one who is held dead, so that two parts that were cut from each other find together
        again, and with a seed.
        """
        alive = sorted(self.alive())
        dead = sorted(
            name
            for name, news in self.news.items()
            if news.opinion is Opinion.DEAD and news.standing is not Standing.OUT
        )
        kinds = [[self.news[name].who.address for name in some] for some in (alive, dead)] + [
            self.seeds
        ]
        first = self.seeds if self.pages_told <= self.SEEDED else kinds[self.pages_told % 3]
        found = first or self.seeds or kinds[0]
        if not alive:
            self.page_at, self.pages_told = self.now + self.PERIOD_MS, 0
        if found:
            self.pages(self.chance.choice(found), True)

    def pages(self, address: str, reply: bool) -> None:
        known = [self.mine(), *(self.news[name] for name in sorted(self.news))]
        for at in range(0, len(known), NEWS_MOST):
            last = at + NEWS_MOST >= len(known)
            self.send(address, Whole(tuple(known[at : at + NEWS_MOST]), reply and last))

    def probe_next(self) -> None:
        """Each once in a round, the order drawn anew for each round: whoever dies is probed by somebody
        within a bounded time (SWIM, 4.3).
        """
        if self.probe is not None:
            return  # the last one is being helped still
        while self.order:
            name = self.order.pop()
            if name in self.news and name in set(self.alive()):
                break
        else:
            self.order = sorted(self.alive())
            self.chance.shuffle(self.order)
            if not self.order:
                return
            name = self.order.pop()
        self.number += 1
        self.probe = (self.number, name, self.now + self.ANSWER_MS * (1 + self.slow), False)
        self.send(self.news[name].who.address, Ping(self.number, self.gossip(name), self.handed()))

    def unanswered(self) -> None:
        assert self.probe is not None
        number, name, _, helped = self.probe
        if not helped:
            # Not among the suspects: in a cut many fail at once, and helpers beyond it would say nothing.
            helpers = [
                each
                for each in sorted(self.alive())
                if each != name and self.news[each].opinion is Opinion.ALIVE
            ]
            helpers = self.chance.sample(helpers, min(self.HELPERS, len(helpers)))
            self.nacks, self.helped = len(helpers), bool(helpers)
            self.probe = (number, name, self.now + 2.0 * self.ANSWER_MS * (1 + self.slow), True)
            for each in helpers:
                self.send(self.news[each].who.address, Help(number, name))
            return
        # Helpers without a word: then it may well be me (Lifeguard, 4.1).
        self.slower(self.nacks if self.helped else 1)
        self.probe = None
        news = self.news.get(name)
        if news is not None and news.opinion is not Opinion.DEAD:
            # Of one that is suspected already it confirms the suspicion (Lifeguard, 4.2).
            self.heard(news._replace(opinion=Opinion.SUSPECT, by=self.me.name))

    def slower(self, by: int) -> None:
        self.slow = min(self.SLOW_MOST, max(0, self.slow + by))

    # Messages

    def message(self, address: str, message: Message) -> None:
        """From whoever listens at that address."""
        match message:
            case Ping(number, news, extra):
                self.all_heard(news, extra)
                self.send(address, Ack(number, self.gossip(sender_of(news)), self.handed()))
            case Ack(number, news, extra):
                self.all_heard(news, extra)
                self.acked(number)
            case Nack(number):
                if self.probe is not None and self.probe[0] == number:
                    self.nacks = max(0, self.nacks - 1)
            case Help(number, target):
                if target in self.news:
                    self.number += 1
                    self.helping[self.number] = (address, number, self.now + self.ANSWER_MS)
                    self.send(
                        self.news[target].who.address,
                        Ping(self.number, self.gossip(target), self.handed()),
                    )
            case Whole(news, reply):
                self.all_heard(news, ())
                if reply:
                    self.pages(address, False)

    def acked(self, number: int) -> None:
        if number in self.helping:
            address, theirs, _ = self.helping.pop(number)
            self.send(address, Ack(theirs, self.gossip(""), self.handed()))
        elif self.probe is not None and self.probe[0] == number:
            self.probe = None
            self.slower(-1)

    def all_heard(self, news: Iterable[News], extra: Iterable[Any]) -> None:
        for each in news:
            if each.who.name == self.me.name:
                self.of_me(each)
            else:
                self.heard(each)
        for part in extra:
            self.take(part)

    def of_me(self, news: News) -> None:
        """What is thought of this member wrongly is refuted by a higher incarnation."""
        if news.who.life != self.me.life:
            if self.gone(news):
                # A former life, stamped later than this one: the clock was set back since.
                if news.who.began >= self.me.began:
                    self.me = self.me._replace(began=news.who.began + 1)
                    self.spread[self.me.name] = 0
            elif (news.who.began, news.who.life) > (self.me.began, self.me.life):
                self.effects.append(Refused(news.who))
            return
        if news.opinion is not Opinion.ALIVE and news.incarnation >= self.incarnation:
            self.incarnation = news.incarnation + 1
            self.slower(1)  # somebody has missed an answer of mine
            self.spread[self.me.name] = 0

    @staticmethod
    def gone(news: News) -> bool:
        return news.opinion is Opinion.DEAD or news.standing is Standing.OUT

    def heard(self, news: News) -> None:
        """Takes it if it is newer: a later life, a higher incarnation, or the graver opinion."""
        name = news.who.name
        if name == self.me.name:
            return
        held = self.news.get(name)
        if held is not None:
            if (
                held.opinion is news.opinion is Opinion.SUSPECT
                and self.key(held)[:3] == self.key(news)[:3]
                and name in self.suspicions
            ):
                self.confirmed(name, news)
                return
            if self.key(news) <= self.key(held):
                return
        self.news[name], self.spread[name] = news, 0
        if held is None or (held.opinion, held.standing, held.who) != (
            news.opinion,
            news.standing,
            news.who,
        ):
            self.since[name] = self.now
            self.effects.append(Changed(news))
        self.suspicions.pop(name, None)
        if news.opinion is Opinion.SUSPECT:
            shortest = self.SUSPECT_PERIODS * self.periods() * self.PERIOD_MS
            self.suspicions[name] = Suspicion(
                self.now, shortest, shortest * self.SUSPECT_SPREAD, news.by, len(self.alive()) - 1
            )

    def confirmed(self, name: str, news: News) -> None:
        suspicion = self.suspicions[name]
        if news.by not in suspicion.by and len(suspicion.by) <= suspicion.wanted:
            suspicion.by.add(news.by)
            self.news[name], self.spread[name] = news, 0  # a confirmation travels as the first did

    @staticmethod
    def key(news: News) -> tuple[int, str, int, int, int]:
        return (news.who.began, news.who.life, news.incarnation, news.opinion, news.standing)

    # What goes with the probes

    def gossip(self, to: str) -> tuple[News, ...]:
        """The news handed on least often first; whom it goes to hears what is thought of itself, so that it
        can refute it at once (Lifeguard's buddy).
        """
        limit = self.SPREAD * math.ceil(math.log2(len(self.news) + 2))
        fresh = sorted(
            (times, name) for name, times in self.spread.items() if times < limit and name != to
        )
        found = [self.mine()]
        if to in self.news and self.news[to].opinion is not Opinion.ALIVE:
            found.append(self.news[to])
        for times, name in fresh[: 12 - len(found)]:  # some hundred bytes each: a packet or two
            self.spread[name] = times + 1
            if name != self.me.name:
                found.append(self.news[name])
        return tuple(found)

    def hand(self, key: str, value: tuple[Any, ...]) -> None:
        """Handed from member to member beside the news, a rank and three texts: under one key the greatest
        counts.
        """
        self.take((key, value))

    def take(self, part: Any) -> None:
        match part:
            case [str(key), [int(rank), str(), str(), str()] as value] if len(key) <= 32 and (
                key in self.extras or len(self.extras) < 8
            ):
                if key not in self.extras or (rank, *value[1:]) > self.extras[key]:
                    self.extras[key] = tuple(value)
            case _:
                self.refused += 1

    def handed(self) -> tuple[Any, ...]:
        return tuple(sorted(self.extras.items()))

    # This member

    def stand(self, standing: Standing) -> None:
        """What it says of itself from now on. One that goes out tells some at once, not only by probes."""
        if standing is self.standing:
            return
        self.standing, self.incarnation = standing, self.incarnation + 1
        self.spread[self.me.name] = 0
        if standing is Standing.OUT:
            alive = sorted(self.alive())
            for name in self.chance.sample(alive, min(self.HELPERS, len(alive))):
                self.send(self.news[name].who.address, Whole((self.mine(),), False))

    def send(self, address: str, message: Message) -> None:
        self.effects.append(Send(address, message))

    def table(self) -> Mapping[str, News]:
        return {self.me.name: self.mine(), **self.news}


def sender_of(news: tuple[News, ...]) -> str:
    """Whose gossip it is: each begins with what its sender says of itself. Empty if there is none."""
    return news[0].who.name if news else ""
