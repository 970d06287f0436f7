"""Decides which requests are refused because requests like them ended upstreams.

Each crash of an upstream has an id and names the requests that were running there, by their traits.
Every request with the culprit ends its upstream, so a trait is cleared of all known crashes once a
request with it is answered.  Of the traits that are left, those that enough crashes name are
refused, except where a more suspicious trait in the same crashes explains them: one that was never
answered, or that fewer of the requests in a crash had.

A refusal ends with an answer.  Once its time is over, a single request is tried; if it ends an
upstream too, the next trial is much later.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import takewhile
from typing import Any, Final

from gypsumpier.quarantine.suspect import Suspect, count_separate, suspect_from
from gypsumpier.quarantine.trait import is_part

CRASHES_TO_REFUSE: Final = 2
"""Crashes that name a request until its copies are refused."""
CRASHES_TO_REFUSE_PART: Final = 3
"""Crashes that name a part of prompts until it is refused; other parts run beside the culprit."""
CRASHES_TO_REFUSE_ANSWERED_PART: Final = 5
"""The same for a part with which requests were answered before, which is likely sound."""
EXPLAINING_FACTOR: Final = 2.0
"""How many times more requests per crash a part must have to be explained by another part."""
EXPLAINING_SHARE: Final = 0.75
"""Share of a part's number of crashes that a part must have that explains it."""
FIRST_REFUSAL_S: Final = 5.0
"""Seconds until the first trial of what is refused: requests that were sent before have ended."""
LATER_REFUSALS_S: Final = (600.0, 6 * 3600.0, 24 * 3600.0)
"""Seconds of the refusal after each failed trial; the last one repeats.  The trials of a day end
three upstreams at most."""
TRIAL_S: Final = 5.0
"""Seconds for which one trial prevents others, unless its end is known before."""
JOINT_TRIAL_DELAY_S: Final = 5.0
"""Seconds for which a request with several refused traits waits longer for its trial than a request
with one: its end would not tell which of them is the culprit."""
EVIDENCE_S: Final = 3600.0
"""Seconds for which a crash counts against a trait that is not refused."""
FORGOTTEN_S: Final = 24 * 3600.0
"""Seconds after its last refusal after which a trait that was not tried again is forgotten."""
SUSPECTS_MAX: Final = 16_384
"""Suspects that are kept; the most suspicious ones longest.  An engine runs some tens of requests,
with some tens to hundreds of parts each."""
SUSPECTS_KEPT: Final = 14_336
"""Suspects that are left where there were more than ``SUSPECTS_MAX``."""
ANSWERED_MAX: Final = 32_768
"""Parts with answered requests that are remembered."""


class Quarantine:
    """The traits that crashes name, bounded in number and age.  Times are monotonic seconds.

    ``first_refusal_s`` is for how long copies of a request are refused at first.
    ``trial_delay_s`` is how much later than others this process tries a refused trait.
    ``repeated`` are the suspects that may have more than one crash.  ``failed_trials`` holds the
    failed trials of each refused trait; ``listeners`` are called with the traits for which that has
    changed.
    """

    def __init__(self, first_refusal_s: float) -> None:
        self.first_refusal_s = first_refusal_s
        self.trial_delay_s = 0.0
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()
        self.repeated: set[str] = set()
        self.answered_parts: OrderedDict[str, None] = OrderedDict()
        self.failed_trials: dict[str, int] = {}
        self.listeners: list[Callable[[list[str]], None]] = []

    def record_crash(self, traits: Iterable[str], crash: str, now_s: float) -> None:
        """Record that a request with these traits was running when an upstream crashed."""
        for trait in traits:
            self.name(trait, crash, now_s)
        self.update(now_s)

    def name(self, trait: str, crash: str, now_s: float) -> None:
        """Add a crash to a trait; a refused one that was tried is refused for longer."""
        suspect = self.suspects.setdefault(trait, Suspect())
        if crash in suspect.cleared:
            return
        suspect.requests += 1
        if crash in suspect.crashes:
            return
        if not suspect.is_refused:
            suspect.drop_crashes_before(now_s - EVIDENCE_S)
        suspect.add_crash(crash, now_s)
        if len(suspect.crashes) >= CRASHES_TO_REFUSE:
            self.repeated.add(trait)
        self.suspects.move_to_end(trait)
        if suspect.is_refused and now_s >= suspect.refused_until_s:
            suspect.failed_trials += 1
            suspect.trial_until_s = 0.0
            suspect.refused_until_s = now_s + self.refusal_s(trait, suspect.failed_trials)

    def update(self, now_s: float) -> None:
        """Draw the conclusions from what has changed."""
        self.refuse_culprits(now_s)
        self.evict_old(now_s)
        before = self.failed_trials
        refused = [trait for trait in self.repeated if self.is_refused(trait)]
        self.failed_trials = {trait: self.suspects[trait].failed_trials for trait in refused}
        changed = [trait for trait, _ in before.items() ^ self.failed_trials.items()]
        if changed:
            for listener in self.listeners:
                listener(sorted(set(changed)))

    def refusal_s(self, trait: str, failed_trials: int) -> float:
        """Return the seconds of a refusal after so many failed trials."""
        first_s = FIRST_REFUSAL_S if is_part(trait) else self.first_refusal_s
        if not failed_trials:
            return first_s
        index = min(failed_trials, len(LATER_REFUSALS_S)) - 1
        return max(first_s, LATER_REFUSALS_S[index])

    def refuse_culprits(self, now_s: float) -> None:
        """Refuse the traits that explain crashes; allow again those that others explain better."""
        found = []
        for trait in list(self.repeated):
            suspect = self.suspects.get(trait, Suspect())
            if len(suspect.crashes) < CRASHES_TO_REFUSE:
                self.repeated.discard(trait)
                suspect.end_refusal()
            elif not is_part(trait):
                self.refuse(trait, suspect, now_s)
            elif len(suspect.crashes) >= CRASHES_TO_REFUSE_PART:
                found.append((trait, suspect))
        found.sort(key=lambda item: (self.was_answered(item[0]), item[1].requests_per_crash))
        # Parts that always occur together, as those of a session, are judged once.
        judged: dict[tuple[bool, int, bool, tuple[str, ...]], bool] = {}
        culprits: list[str] = []
        for trait, suspect in found:
            has_failed = suspect.failed_trials > 0
            named = tuple(suspect.crashes)
            evidence = self.was_answered(trait), suspect.requests, has_failed, named
            if evidence not in judged:
                judged[evidence] = has_failed or self.is_culprit(trait, suspect, culprits)
                if judged[evidence]:
                    culprits.append(trait)
            if judged[evidence]:
                self.refuse(trait, suspect, now_s)
            elif suspect.is_refused:
                suspect.end_refusal()

    def is_culprit(self, part: str, suspect: Suspect, culprits: list[str]) -> bool:
        """Return whether enough crashes name the part that none of the culprits explains."""
        unexplained_s = [
            at_s
            for crash, at_s in suspect.crashes.items()
            if not self.is_explained(part, crash, culprits)
        ]
        return count_separate(unexplained_s) >= self.crashes_needed(part)

    def refuse(self, trait: str, suspect: Suspect, now_s: float) -> None:
        """Begin to refuse a trait, unless it is refused already."""
        if not suspect.is_refused:
            suspect.is_refused = True
            suspect.refused_until_s = now_s + self.refusal_s(trait, 0)

    def was_answered(self, part: str) -> bool:
        """Return whether a request with the part was answered not long ago."""
        return part in self.answered_parts

    def crashes_needed(self, part: str) -> int:
        """Return how many separate crashes must name the part until it is refused."""
        if self.was_answered(part):
            return CRASHES_TO_REFUSE_ANSWERED_PART
        return CRASHES_TO_REFUSE_PART

    def is_explained(self, part: str, crash: str, culprits: list[str]) -> bool:
        """Return whether a more suspicious culprit ran in the crash as well."""
        return any(
            crash in self.suspects[other].crashes and self.is_more_suspicious(other, part)
            for other in culprits
        )

    def is_more_suspicious(self, other: str, part: str) -> bool:
        """Return whether crashes that name both parts are rather due to the other one."""
        if self.was_answered(part) and not self.was_answered(other):
            return True
        rare, frequent = self.suspects[other], self.suspects[part]
        return (
            len(rare.crashes) >= EXPLAINING_SHARE * len(frequent.crashes)
            and EXPLAINING_FACTOR * rare.requests_per_crash <= frequent.requests_per_crash
        )

    def record_answered(self, traits: Iterable[str], now_s: float) -> dict[str, list[str]]:
        """Clear the traits of an answered request of the crashes known by now.

        Returns the crashes of which each suspect was cleared.
        """
        cleared = {}
        for trait in traits:
            if is_part(trait):
                self.answered_parts[trait] = None
                self.answered_parts.move_to_end(trait)
            suspect = self.suspects.get(trait)
            if suspect is not None and suspect.crashes:
                cleared[trait] = list(suspect.crashes)
        while len(self.answered_parts) > ANSWERED_MAX:
            self.answered_parts.popitem(last=False)
        self.clear(cleared, now_s)
        return cleared

    def clear(self, cleared: dict[str, list[str]], now_s: float) -> None:
        """Clear each trait of the crashes."""
        for trait, crashes in cleared.items():
            self.suspects.setdefault(trait, Suspect(named_at_s=now_s)).clear(crashes)
        if cleared:
            self.update(now_s)

    def merge(self, found: dict[str, Any], now_s: float) -> None:
        """Add the suspects of another process, as the fields of a message by trait.

        Raises KeyError, TypeError or ValueError if they are malformed; then none is added.
        """
        others = {trait: suspect_from(fields, now_s) for trait, fields in found.items()}
        for trait, other in others.items():
            self.suspects.setdefault(trait, Suspect()).merge(other, now_s)
            self.suspects.move_to_end(trait)
            self.repeated.add(trait)
        self.update(now_s)

    def is_suspect(self, trait: str) -> bool:
        """Return whether a crash names the trait, of which it was not cleared."""
        suspect = self.suspects.get(trait)
        return suspect is not None and bool(suspect.crashes)

    def knows(self, trait: str, crash: str) -> bool:
        """Return whether it is known that a request with the trait ran in the crash."""
        suspect = self.suspects.get(trait)
        return suspect is not None and (crash in suspect.crashes or crash in suspect.cleared)

    def refused(self, traits: Iterable[str]) -> list[str]:
        """Return which of the traits are refused, including those that may be tried."""
        return [trait for trait in traits if trait in self.failed_trials]

    def is_refused(self, trait: str) -> bool:
        """Return whether the trait is refused, also if it may be tried."""
        suspect = self.suspects.get(trait)
        return suspect is not None and suspect.is_refused

    def refused_for_s(self, traits: Iterable[str], now_s: float) -> float:
        """Return for how many more seconds a request with these traits is refused; 0 if it isn't.

        A request that may be tried isn't refused.
        """
        refused = self.refused(traits)
        if not refused:
            return 0.0
        delay_s = self.trial_delay_s + (JOINT_TRIAL_DELAY_S if len(refused) > 1 else 0.0)
        suspects = [self.suspects[trait] for trait in refused]
        until_s = max(
            max(suspect.refused_until_s + delay_s, suspect.trial_until_s) for suspect in suspects
        )
        return max(0.0, until_s - now_s)

    def begin_trial(self, traits: Iterable[str], now_s: float) -> list[str]:
        """Record that a request with these traits is sent now; return those that it tries.

        Another process may try a trait earlier than this one would; a crash that follows is the
        trial's here as well.
        """
        refused = self.refused(traits)
        for trait in refused:
            suspect = self.suspects[trait]
            suspect.refused_until_s = min(suspect.refused_until_s, now_s)
            suspect.trial_until_s = now_s + TRIAL_S
        return refused

    def evict_old(self, now_s: float) -> None:
        """Drop the suspects that are forgotten or too many."""
        oldest_s = now_s - EVIDENCE_S
        # In the order in which they were named last.
        old = takewhile(lambda item: item[1].named_at_s < oldest_s, self.suspects.items())
        for trait, suspect in list(old):
            if not suspect.is_refused or now_s >= suspect.refused_until_s + FORGOTTEN_S:
                del self.suspects[trait]
        if len(self.suspects) > SUSPECTS_MAX:
            least_suspicious_first = sorted(self.suspects, key=self.suspicion)
            for trait in least_suspicious_first[: len(self.suspects) - SUSPECTS_KEPT]:
                del self.suspects[trait]

    def suspicion(self, trait: str) -> tuple[bool, int, bool]:
        """Return what orders suspects by what would be lost if they were forgotten.

        Those that are equal stay in the order in which they were named.
        """
        suspect = self.suspects[trait]
        return suspect.is_refused, len(suspect.crashes), not self.was_answered(trait)
