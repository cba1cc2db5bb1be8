package integration

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// formsOfSoak returns the forms of answers of the soak, without those that end the connection, which other faults do.
func formsOfSoak() []oddForm {
	var forms []oddForm
	for _, all := range [][]oddForm{
		unstatedForms(), contradictoryForms(), unnamedForms(), outcomeForms(), copyForms(),
		invalidStatusForms(), malformedHeadForms(), earlyForms(),
	} {
		for _, f := range all {
			if !f.form.Close {
				forms = append(forms, f)
			}
		}
	}
	return forms
}

// answerInForms lets the runners of a service answer some requests in odd forms for a while, and pauses the one that is a process
// of its own, until the context ends.
func (s *soak) answerInForms(ctx context.Context, process processRunner, random *rand.Rand) {
	forms, services := formsOfSoak(), [][]string{{"r1", "r2", "r3"}, {"p1", "p2", "p3"}}
	for ctx.Err() == nil {
		form := forms[random.IntN(len(forms))].form
		if form.Every = 3 + random.IntN(10); form.Copy != nil {
			// Each runner refuses each attempt, so that attempts come to the same runner again.
			form.Every = 1
		}
		ids := services[random.IntN(len(services))]
		s.setForms(ids, process, form)
		group.Sleep(ctx, time.Duration(100+random.IntN(900))*time.Millisecond)
		s.setForms(ids, process, modelrunner.Form{})
		if random.IntN(5) == 0 {
			process.signal(syscall.SIGSTOP)
			group.Sleep(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
			process.signal(syscall.SIGCONT)
		}
	}
}

// sendLongUploads sends long requests of each kind to random gateways until the context ends, to which runners may answer early.
func (s *soak) sendLongUploads(ctx context.Context, vms []string, random *rand.Rand) {
	kinds := []struct{ path, model string }{{modelPath, "large"}, {unsafePath, ""}, {safePath, ""}}
	for ctx.Err() == nil {
		kind, vm := kinds[random.IntN(len(kinds))], vms[random.IntN(len(vms))]
		s.sendRequest(vm, kind.model, newRequest(context.Background(), s.gateways[vm], kind.path, kind.model, longBody()))
		group.Sleep(ctx, time.Duration(50+random.IntN(200))*time.Millisecond)
	}
}

func (s *soak) setForms(ids []string, process processRunner, form modelrunner.Form) {
	for _, id := range ids {
		s.runners[id].SetForm(form)
	}
	process.setForm(s.t, form)
}
