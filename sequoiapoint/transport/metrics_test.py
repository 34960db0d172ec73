from concurrent.futures import ThreadPoolExecutor

from sequoiapoint.transport.metrics import Metrics


def test_counters_are_exposed_with_what_all_threads_have_added():
    """Guards against lost additions, and against counting them again at each read."""
    metrics = Metrics()
    with ThreadPoolExecutor(4) as pool:
        list(pool.map(metrics.event, ["counted_by_threads"] * 4000))
    metrics.request("done", "counted_once", 0.3)
    for _ in range(2):
        lines = metrics.exposition().decode().splitlines()
        (events,) = [n for n in lines if 'name="counted_by_threads"' in n]
        assert events.startswith("events_total{") and events.endswith(" 4000.0")
        (requests,) = [n for n in lines if n.startswith('requests_total{fate="done"')]
        assert 'promise="counted_once"' in requests and requests.endswith(" 1.0")
