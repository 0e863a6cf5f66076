"""What the feeds do once the store has a newer era."""

from comfreyusher.feeds._exchange import REQUIRED_TOPICS
from comfreyusher.feeds._relay import store_read_delay_s
from comfreyusher.messages import DepartureNotice
from comfreyusher.platform import EraObserved


def begin_era(task, era):
    """Forget the positions of a ``FeedTask``, which are of an older era.

    Its data stays in use until the store confirms or replaces it. A reader reads all
    topics at once; the other nodes wait for what it sends. Nodes that start from now on
    hear of leaving upstreams from the departure tasks: the copy may list them as ready.
    """
    now = task.clock()
    if any(task.view.has_data(topic) for topic in REQUIRED_TOPICS):
        task.outage.restored_s = now
    task.view.begin_era()
    for name, started_ms in task.view.registry.left.items():
        if started_ms:
            task.send_message("departures", DepartureNotice(name, started_ms))
    task.publisher.stop()
    wait_s = store_read_delay_s(
        task.timings.configuration_apply_s,
        task.exchange.is_root,
        task.random.random(),
    )
    for state in task.topics.values():
        state.begin_era(era, now if state.never_confirmed else now + wait_s)
        state.next_call_s = min(state.next_call_s, now)
    task.send_message("platform", EraObserved(era))
