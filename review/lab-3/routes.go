package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["denied"] = routeDenied }

// partsHost is the host of an application that has nothing to do with batch jobs.
const partsHost = "parts.example"

// routeDenied: a config adds a safe route whose prefix is /items/, on a host without batch jobs.
func routeDenied(l *lab) error {
	config := baseConfig()
	prefix := "/parts/"
	route := func() map[string]any {
		return map[string]any{"Name": "parts", "Host": partsHost, "Prefix": prefix, "Type": "safe", "Service": "desk", "Attempts": 2, "TimeoutMs": 4000, "GoalMs": 150, "Prio": 1}
	}
	routes := config["Routes"].([]map[string]any)
	config["Routes"] = append(routes, route())
	if err := l.beginDeployment(config, 4, 2, func(*server) {}); err != nil {
		return err
	}
	if l.trouble {
		prefix = "/items/"
		changed := baseConfig()
		changed["Version"], changed["Routes"] = 8, append(routes, route())
		l.store.set("config", "main", changed)
		l.record.line("config", "version 8 is confirmed; the route parts has the prefix /items/")
		time.Sleep(4 * time.Second) // ConfigApplyMs is 2 s
	}
	denied, sent := 0, 0
	for n := range 60 {
		id := fmt.Sprintf("part%012d", n)
		a := l.send(l.entries()[n%2], request{method: "GET", host: partsHost, path: fmt.Sprintf("%s%d", prefix, 1000+n), id: id, deadline: 4 * time.Second})
		sent++
		if a.status >= 300 && a.status < 500 && !isPromise(a.status) && a.header.Get("X-Pomelocross-Server-Seal") == "" {
			denied++
			l.record.line("broken", "DENIED", id, fmt.Sprintf("answered %d: %.60s", a.status, a.body), fmt.Sprintf("begun %d times", l.ran(id)))
		} else if a.status != http.StatusOK {
			l.record.line("failed", id, fmt.Sprint(a.status), fmt.Sprint(a.err))
		}
		time.Sleep(50 * time.Millisecond)
	}
	if denied > 5+sent/500 {
		return brokenError(fmt.Sprintf("DENIED: %d of %d proper requests were answered with a 4xx of the system's own", denied, sent))
	}
	return nil
}
