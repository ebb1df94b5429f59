package node

import (
	"strings"
	"testing"
)

func TestScenarios(t *testing.T) {
	const atWorker = `
		r1 expect POST /post/7?a=b txn=a1 key=k body=work`
	const sent = `
		c1 send job post a1 || work` + atWorker
	const done = `
		back send POST /callback || {"id":"a1","from":"r1","state":"done","result":"it \"ran\""}
		back expect 204
		c1 expect 200 it "ran"`
	for name, script := range map[string]string{
		"a job is served, and the reused connection serves the next": sent + `
			r1 send 202 OK` + done + `
			c1 send job post a2 || more
			r1 expect POST /post/7?a=b txn=a2 key=k body=more`,
		"callbacks may arrive before the 202, and repeatedly": sent + `
			back send POST /callback || {"id":"a1","from":"r1","state":"started"}
			back expect 204` + done + `
			back send POST /callback || {"id":"a1","from":"r1","state":"done","result":"other"}
			back expect 204
			r1 expect end
			c1 send GET /_health
			c1 expect 200`,
		"a reused connection may end after the 202": sent + `
			r1 send 202 OK
			wait accepted 1
			back send POST /callback || {"id":"a1","from":"r1","state":"started"}
			back expect 204
			r1 close` + done,
		"a reset before the 202 is not a refusal": sent + `
			r1 close reset
			c1 expect 500`,
		"a status 500 is not a refusal": sent + `
			r1 send 500 Broken
			c1 expect 500`,
		"a job that a worker refuses is retried": sent + `
			r1 send 503 Full | X-Turned-Away: 1
			r1 expect POST /post/7?a=b txn=a1 key=k body=work
			r1 send 202 OK` + done,
		"a request that a worker rejects as invalid is not retried": `
			c1 send job batch a1 || work
			r1 expect POST /batch/7?a=b txn=a1 key=k body=work
			r1 send 400 Bad
			c1 expect 400 the worker cannot use it
			c1 send job batch a2 || work
			r1 expect POST /batch/7?a=b txn=a2 key=k body=work`,
		"a job refused without X-Turned-Away may have run": sent + `
			r1 send 503 Full
			c1 expect 500`,
		"an attempt is not retried after its reused connection was reset": sent + `
			r1 send 202 OK
			wait accepted 1` + done + `
			r1 close
			r1 expect end
			c1 send job post a2 || more
			r1 expect POST /post/7?a=b txn=a2 key=k body=more
			r1 close reset
			c1 expect 500`,
		"a client disconnects before the 202 arrives": sent + `
			c1 close
			r1 expect end
			r1 expect DELETE /jobs/a1
			r1 send 404 None`,
		"a client disconnects after the 202": sent + `
			r1 send 202 OK
			back send POST /callback || {"id":"a1","from":"r1","state":"started"}
			back expect 204
			c1 close
			r1 expect DELETE /jobs/a1
			r1 send 200 OK`,
		"a request sent before the previous response waits": sent + `
			c1 send GET /_health
			r1 send 202 OK` + done + `
			c1 expect 200`,
		"a client that expects 100 Continue": `
			c1 send GET /_health | Expect: 100-continue || x
			c1 expect 100
			c1 expect 200`,
		"the class may be in the path only": `
			c1 send POST /post/7?a=b | X-Txn: a1 | X-Org: sahel | X-Remaining-Ms: 30000 | Idempotency-Key: k || work` +
			atWorker,
		"callbacks of unknown jobs": `
			back send POST /callback || {"id":"zz","from":"r1","state":"done","result":""}
			back expect 204
			back send POST /callback || {"id":"zz","state":"news"}
			back expect 204
			back send POST /callback || {"id":
			back expect 400 callback: EOF`,
		"invalid requests get an error, and the connection stays open": `
			c1 send POST /post/7 | X-Lane: post | X-Org: sahel | X-Remaining-Ms: 900
			c1 expect 400 no X-Txn
			c1 send POST /post/7 | X-Txn: a1 | X-Lane: post | X-Org: sahel
			c1 expect 400 no X-Remaining-Ms
			c1 send POST /post/7 | X-Txn: a1 | X-Lane: post | X-Org: sahel | X-Remaining-Ms: soon
			c1 expect 400 malformed X-Remaining-Ms
			c1 send POST /post/7 | X-Txn: a1 | X-Lane: mail | X-Org: sahel | X-Remaining-Ms: 900
			c1 expect 400 unknown class "mail"
			c1 send POST /post/7 | X-Txn: a1 | X-Lane: post | X-Org: gabes | X-Remaining-Ms: 900
			c1 expect 400 unknown tenant "gabes"
			c1 send GET /post/7 | X-Txn: a1
			c1 expect 405 jobs come by POST` + sent,
		"a number of slots that is NaN or above the maximum is invalid": `
			c1 send job batch a1 | X-Labels: slots=NaN || work
			c1 expect 400 malformed X-Labels
			c1 send job batch a1 | X-Labels: memory=1e30 || work
			c1 expect 400 malformed X-Labels` + sent,
		"a client without remaining time is answered at once": `
			c1 send POST /post/7 | X-Txn: a1 | X-Lane: post | X-Org: sahel | X-Remaining-Ms: 0
			c1 expect 503 after 2`,
		"a malformed head": `
			c1 send nonsense | X-Txn: a1
			c1 expect 400 close malformed request line
			c1 expect end`,
		"a body over the limit": `
			c1 send POST /post/7 | X-Txn: a1 | Content-Length: 65537
			c1 expect 413 close body over 65536 bytes
			c1 expect end`,
		"the worker list changes by objects that arrive in parts": `
			discovery expect GET /catalog/members?watch=1&from=4
			discovery send head
			discovery send {"rev":5,"all":false,"tar
			discovery send gets":[{"uid":"r1","endpoint":"x","az":"north","model":"m1","state":"draining"}]}/n
			discovery send /n
			discovery send {"rev":6,"all":false,"targets":[]}/n
			discovery close
			discovery expect end
			discovery expect GET /catalog/members?watch=1&from=6
			c1 send POST /post/7 | X-Txn: a1 | X-Lane: post | X-Org: sahel | X-Remaining-Ms: 500 || work
			c1 expect 503 after 0`,
		"the node reconnects after discovery closed the connection": `
			discovery expect GET /catalog/members?watch=1&from=4
			discovery close
			discovery expect end
			discovery expect GET /catalog/members?watch=1&from=4`,
		"a stopping node still accepts callbacks, refuses new jobs, and ends": sent + `
			r1 send 202 OK
			idle send GET /_health
			idle expect 200
			node send stop
			idle expect 503 after 0 close
			idle expect end
			front send GET /_health
			front expect 503
			c2 send job post a2 || more
			c2 expect 503 after 0 close` + strings.Replace(done, "200 it", "200 close it", 1) + `
			wait end`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness
			if strings.Contains(name, "reused connection") {
				// The nodes of a small fleet reuse a connection to a worker for only 50 ms.
				harness = newLargeFleetHarness
			}
			runScenario(t, harness(t, 0, "r1"), script)
		})
	}
}

// An attempt whose connection cannot be opened has not run, so the job is sent to another worker.
func TestUnreachedWorker(t *testing.T) {
	w := newHarness(t, 0, "rdown")
	line := workerLine("r2", w.serve(t, "r2").Addr().String())
	runScenario(t, w, `
		discovery expect GET /catalog/members?watch=1&from=4
		discovery send head
		c1 send job post a1 || work
		discovery send {"rev":5,"all":false,"targets":[`+line+`]}/n
		r2 expect POST /post/7?a=b txn=a1 key=k body=work
		r2 send 202 OK
		back send POST /callback || {"id":"a1","from":"r2","state":"done","result":"yes"}
		back expect 204
		c1 expect 200 yes`)
}
