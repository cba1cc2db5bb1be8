package integration

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// soakForms returns the forms of answers of the soak, without those that end the connection, which other faults do.
func soakForms() []oddForm {
	var forms []oddForm
	for _, all := range [][]oddForm{unstatedForms(), contradictoryForms(), unnamedForms(), outcomeForms()} {
		for _, f := range all {
			if !f.form.Close {
				forms = append(forms, f)
			}
		}
	}
	return forms
}

// answerInForms lets single runners answer some requests in odd forms for a while, and pauses the one that is a process of its
// own, until the context ends.
func (s *soak) answerInForms(ctx context.Context, process processRunner, random *rand.Rand) {
	forms, ids := soakForms(), []string{"r1", "r2", "r3", "p1", "p2", "p3"}
	for ctx.Err() == nil {
		form := forms[random.IntN(len(forms))].form
		form.Every = 3 + random.IntN(20)
		runner := s.runners[ids[random.IntN(len(ids))]]
		if random.IntN(4) == 0 {
			process.setForm(s.t, form)
		} else {
			runner.SetForm(form)
		}
		group.Sleep(ctx, time.Duration(100+random.IntN(1000))*time.Millisecond)
		runner.SetForm(modelrunner.Form{})
		process.setForm(s.t, modelrunner.Form{})
		if random.IntN(5) == 0 {
			process.signal(syscall.SIGSTOP)
			group.Sleep(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
			process.signal(syscall.SIGCONT)
		}
	}
}
