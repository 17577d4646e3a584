"""What an entry can prove about one request over all its tries."""

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode

__all__ = ["RanProof"]


class RanProof:
    """Collects what each try of a request told and says what the caller may be told.

    The last refusal alone would be false: a first try whose connection broke may have run, and a
    "no" from the endpoint that was tried next does not undo that.

    A key or ticket of the caller makes it harder. The caller reads "no" as "nothing under my key
    ran", and an earlier request of its own, through another entry, may have run. Of that only the
    sidecar that holds the ticket knows. So a "no" of the entry's own (no endpoint, connection
    refused) or of a tombstone counts for private requests only.
    """

    def __init__(self, is_shared: bool) -> None:
        self._is_shared = is_shared
        self._may_have_run = False
        self._did_run = False

    def note(self, ran: Ran) -> None:
        """Note how one try ended."""
        self._may_have_run = self._may_have_run or ran is Ran.UNKNOWN
        self._did_run = self._did_run or ran is Ran.YES

    def final(self, refusal: Refusal, by_ticket_holder: bool) -> Refusal:
        """Return the refusal as the caller gets it.

        Args:
            refusal: How the last try ended.
            by_ticket_holder: Whether the sidecar that holds the ticket's row said so. A stale
                stamp is refused before the ticket is looked at, so that says nothing of it.
        """
        self.note(refusal.ran)
        if self._did_run:
            return attrs.evolve(refusal, ran=Ran.YES)
        is_proof = by_ticket_holder and refusal.code is not RefusalCode.STALE_STAMP
        unproved = self._is_shared and not is_proof
        if self._may_have_run or (unproved and refusal.ran is Ran.NO):
            return attrs.evolve(refusal, ran=Ran.UNKNOWN)
        return refusal
