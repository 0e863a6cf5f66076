"""What the feeds do once the store has a newer era."""

from comfreyusher.feeds._exchange import REQUIRED_TOPICS
from comfreyusher.feeds._relay import store_read_delay_s
from comfreyusher.platform import EraObserved


def begin_era(task, era):
    """Forget the positions of a ``FeedTask``, which are of an older era.

    Its data stays in use until the store confirms or replaces it. A reader reads all
    topics at once; the other nodes wait for what it sends.
    """
    now = task.clock()
    if any(task.view.has_data(topic) for topic in REQUIRED_TOPICS):
        task.outage.restored_s = now
    task.view.begin_era()
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
