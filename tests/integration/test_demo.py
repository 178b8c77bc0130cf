from fescuestile_standins import demo


async def test_the_demo_prints_every_step(capsys):
    await demo.run()
    output = capsys.readouterr().out
    assert "session roamed to landshut-1" in output
    assert "GET pump-17 -> hisses" in output
    assert "killed (SIGKILL)" in output
    assert "GET pump-17 -> repaired" in output
