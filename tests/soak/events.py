"""Events of the streams that the simulated runners send.

Where the ids of a stream begin, how far apart they are and how its events are written are drawn
from the attempt, so that all runners and the check agree on them.
"""
import hashlib

FIRST_IDS = (0, 0, 0, 1, 5, 1 << 40, (1 << 63) + 7)
ID_STEPS = (1, 1, 10, 1000)
FORMS = ("id: {id}\ndata: {data}\n\n", "id:{id}\ndata:{data}\n\n", "data: {data}\nid: {id}\n\n",
         ": more\nid: {id}\ndata: {data}\n\n", "id: {id}\r\ndata: {data}\r\n\r\n")


def draw(attempt, what, values):
    digest = hashlib.sha256(f"{what} {attempt}".encode()).hexdigest()
    return values[int(digest[:8], 16) % len(values)]


class EventSequence:
    """The events of one stream, counted from 0; ids are numbers, or texts if they are given."""

    def __init__(self, count, first_id=0, id_step=1, form=FORMS[0], ids=None):
        self.ids = ids or [first_id + index * id_step for index in range(count)]
        self.form = form

    @classmethod
    def of_attempt(cls, attempt, count=None):
        return cls(count or draw(attempt, "count", range(6, 26)),
                   draw(attempt, "first id", FIRST_IDS), draw(attempt, "step", ID_STEPS),
                   draw(attempt, "form", FORMS))

    def __len__(self):
        return len(self.ids)

    def event(self, attempt, index, filling=""):
        return self.form.format(id=self.ids[index], data=f"{attempt}-{index}{filling}").encode()

    def first_after(self, last_event_id):
        """Index of the event after that with the id of a Last-Event-Id header; 0 without the
        header and for a text that is no id of the stream."""
        known = [str(event_id) for event_id in self.ids]
        return known.index(last_event_id) + 1 if last_event_id in known else 0

    def text(self, attempt, first=0, filling=""):
        """All events from the index first on."""
        return b"".join(self.event(attempt, index, filling)
                        for index in range(first, len(self.ids)))
