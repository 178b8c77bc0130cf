from fescuestile_standins import demo


async def test_the_demo_shows_every_step(capsys):
    await demo.run()
    shown = capsys.readouterr().out
    assert "session roamed to landshut-1" in shown
    assert "GET pump-17 -> hisses" in shown
    assert "killed (SIGKILL)" in shown
    assert "GET pump-17 -> repaired" in shown
