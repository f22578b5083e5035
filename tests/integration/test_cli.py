"""The command-line tool against real processes, and its exit codes."""

import json

import yaml
from deploy import table_text, wait_for
from jobs import submit, wait_for_job_end


def test_table_commands(start_deployment, cli, tmp_path):
    deployment = start_deployment(workers=3)
    shown = cli(deployment, "table", "show")
    assert shown.returncode == 0 and shown.stdout.startswith("# version 1\nteam")

    rows = [dict(row) for row in deployment.spec["weights"]]
    rows[0]["weight"], rows[1]["weight"] = 15, 45
    file = tmp_path / "table.txt"
    file.write_text(table_text(rows))
    applied = cli(deployment, "table", "apply", "--by", "ana", str(file))
    assert applied.returncode == 0 and "version 2 accepted" in applied.stdout
    conflict = cli(deployment, "table", "apply", "--version", "1", str(file))
    assert conflict.returncode == 3
    assert "by ana; nothing was overwritten" in conflict.stderr
    assert "quotes: weight 20 -> 15" in conflict.stderr

    history = cli(deployment, "table", "history")
    assert "version 2 by ana" in history.stdout and "renderings: weight 40 -> 45" in history.stdout
    wait_for(lambda: cli(deployment, "table", "show").stdout.startswith("# version 2"))

    edited = cli(deployment, "table", "edit", "--yes", env={"EDITOR": "sed -i s/0.80/0.90/"})
    assert edited.returncode == 0 and "quotes: price 0.8 -> 0.9" in edited.stderr
    invalid = cli(deployment, "table", "edit", "--yes", env={"EDITOR": "sed -i s/0.90/x/"})
    assert invalid.returncode == 2 and "remedy" in invalid.stderr and \
        "draft is kept in" in invalid.stderr


def test_conflicting_edit_overwrites_nothing(start_deployment, cli, tmp_path):
    deployment = start_deployment(workers=3)
    rows = [dict(row) for row in deployment.spec["weights"]]
    rows[0]["price"] = 0.95
    file = tmp_path / "other.txt"
    file.write_text(table_text(rows))
    # Another operator applies a file while the editor of the first one is open.
    editor = (f"sh -c 'CATKINLUG_ENTRY={deployment.entry_url()} {deployment.build}/catkinlug table "
              f"apply --by bob {file} >/dev/null && sed -i s/0.40/0.45/ \"$1\"' editor")
    conflict = cli(deployment, "table", "edit", "--yes", "--by", "ana", env={"EDITOR": editor})
    assert conflict.returncode == 3, conflict.stderr
    assert "by bob" in conflict.stderr and "quotes: price 0.8 -> 0.95" in conflict.stderr
    wait_for(lambda: deployment.get("/table")["version"] == 2)
    assert "0.45" not in deployment.get("/table")["text"]


def test_job_commands(start_deployment, cli):
    deployment = start_deployment(workers=3)
    done = cli(deployment, "job", "submit", "--team", "renderings", "--kind", "rendering",
               "--count", "3", "--payload", '{"work_ms": 100}', "--wait", "--json")
    assert done.returncode == 0 and json.loads(done.stdout)["done"] == 3
    long_job = cli(deployment, "job", "submit", "--team", "renderings", "--kind", "rendering",
                   "--payload", '{"work_ms": 60000}', "--key", "k")
    job = long_job.stdout.strip()
    resubmitted = cli(deployment, "job", "submit", "--team", "renderings", "--kind", "rendering",
                      "--key", "k")
    assert resubmitted.stdout.strip() == f"{job} (submitted before)"
    assert job in cli(deployment, "job", "list", "--team", "renderings").stdout
    cancelled = cli(deployment, "job", "cancel", "--team", "renderings", job)
    assert cancelled.returncode == 0 and "cancelling" in cancelled.stdout
    assert wait_for_job_end(deployment, "renderings", job)["state"] == "cancelled"
    assert cli(deployment, "job", "status", "--team", "renderings", "0" * 20).returncode == 5
    failing = cli(deployment, "job", "submit", "--team", "renderings", "--kind", "bad",
                  "--payload", '{"work_ms": 20, "fail": true}', "--wait")
    assert failing.returncode == 1 and "state     failed" in failing.stdout
    assert cli(deployment, "job", "submit", "--team", "renderings").returncode == 2
    assert cli(deployment, "job", "list", token="wrong").returncode == 4


def test_status_commands_and_timeline(shared, cli, tmp_path):
    status, body = submit(shared, work_ms=50)
    assert status == 201
    wait_for_job_end(shared, "renderings", body["id"])
    assert "in force on 4 of 4 agents" in cli(shared, "status").stdout
    assert cli(shared, "worker", "list").stdout.count("\n") == 5
    assert "atelier-desk" in cli(shared, "service", "list").stdout
    assert "renderings" in cli(shared, "charge", "report").stdout
    for args in (["status"], ["worker", "list"], ["service", "list"], ["charge", "report"],
                 ["table", "show"], ["table", "history"], ["job", "list"]):
        assert json.loads(cli(shared, *args, "--json").stdout)
    events = json.loads(cli(shared, "timeline", "--job", body["id"], "--json").stdout)["events"]
    names = [event["event"] for event in events]
    order = [names.index(n) for n in ("job_accepted", "task_claimed", "task_started", "job_done")]
    assert order == sorted(order), names
    stamps = [event["stamp"] for event in events]
    assert stamps == sorted(stamps)
    page = tmp_path / "page.html"
    assert cli(shared, "timeline", "--html", str(page)).returncode == 0
    text = page.read_text()
    assert "<svg" in text and "http://" not in text and "https://" not in text


def test_unreachable_entry_is_reported(cli):
    result = cli(None, "status", "--entry", "http://127.0.0.1:9")
    assert result.returncode == 1 and "--entry" in result.stderr


def test_settings_check_reports_same_errors_as_daemon(start_deployment, cli, program, tmp_path):
    deployment = start_deployment(start=False)
    settings = deployment.entry_settings("entry-1")
    good = tmp_path / "good.yaml"
    good.write_text(yaml.safe_dump(settings))
    assert cli(None, "settings", "check", str(good)).returncode == 0
    settings["beat"] = "soon"
    settings["colour"] = "green"
    bad = tmp_path / "bad.yaml"
    bad.write_text(yaml.safe_dump(settings, sort_keys=False))
    checked = cli(None, "settings", "check", str(bad))
    started = program("catkinlug-entryd", str(bad))
    assert checked.returncode == 2 and started.returncode == 2
    for text in (checked.stderr, started.stderr):
        assert f"{bad}:" in text and "colour: unknown key" in text
        assert "a duration with its unit" in text
    mismatched = program("catkinlug-agentd", str(good))
    assert mismatched.returncode == 2 and "for another daemon" in mismatched.stderr


def test_unbindable_address_is_reported(start_deployment, program, tmp_path):
    deployment = start_deployment(start=False)
    for key in ("http", "inner"):
        settings = deployment.entry_settings("entry-1")
        settings[key] = "192.0.2.1:80"
        file = tmp_path / f"{key}.yaml"
        file.write_text(yaml.safe_dump(settings))
        started = program("catkinlug-entryd", str(file))
        assert started.returncode == 2
        assert f"{key}: 192.0.2.1:80 can't be bound" in started.stderr


def test_reload_applies_valid_and_rejects_invalid_settings(start_deployment):
    import signal
    deployment = start_deployment(workers=1)
    log_path = f"{deployment.dir}/entry-1.log"

    def reload(change):
        settings = deployment.entry_settings("entry-1")
        settings.update(change)
        with open(f"{deployment.dir}/entry-1.yaml", "w", encoding="utf-8") as file:
            yaml.safe_dump(settings, file)
        deployment.signal("entry-1", signal.SIGHUP)

    def logged(text):
        with open(log_path, encoding="utf-8") as file:
            return text in file.read()

    reload({"tokens": [{"token": "new-secret", "role": "operator"}]})
    wait_for(lambda: deployment.call("GET", "/status", token="new-secret")[0] == 200)
    reload({"http": "127.0.0.1:1"})
    wait_for(lambda: logged("http can't change live"))
    assert deployment.call("GET", "/status", token="new-secret")[0] == 200
