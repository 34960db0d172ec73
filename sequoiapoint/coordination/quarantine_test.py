from sequoiapoint.coordination.quarantine import Quarantine


def test_peers_are_told_of_what_changed_lately_and_never_of_everything():
    """Replays a service whose answers are lost: hundreds of requests look suspect."""
    quarantine = Quarantine(3)
    for n in range(500):
        quarantine.record_death(f"r-{n}", "s@1", n / 100)
    news = quarantine.recent_changes(5.0, 1.0, 20)
    assert len(news) == 20
    assert news[0].fingerprint == "r-499"
    assert quarantine.recent_changes(9.0, 1.0, 20) == ()


def test_a_request_is_kept_out_after_the_deaths_that_are_asked_for():
    quarantine = Quarantine(3)
    deaths = [quarantine.record_death("r", f"s-{n}@1", 0.0) for n in range(3)]
    assert deaths == [False, False, True]
    assert not quarantine.record_death("q", "s-1@1", 0.0)
    assert not quarantine.record_death("q", "s-1@1", 0.1)
