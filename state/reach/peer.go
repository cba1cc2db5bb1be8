package reach

import "math/rand/v2"

// Peer is another VM that may forward requests to endpoints.
type Peer struct {
	Name   string
	Domain string
	// Lost reports that it has lost its own path to the endpoints.
	Lost bool
	// Slow reports that it has not answered a request of late.
	Slow bool
}

// ChoosePeer returns the VM that forwards a request, or "" if none can. It takes one at random, so that the VMs that have lost
// their path do not all choose the same. VMs of the own failure domain come first unless most of them have lost their path:
// the few that are left cannot serve the whole domain.
func ChoosePeer(domain string, peers []Peer, random *rand.Rand) string {
	var sound, near, slow []string
	inDomain := 0
	for _, p := range peers {
		if p.Domain == domain {
			inDomain++
		}
		switch {
		case p.Lost:
		case p.Slow:
			slow = append(slow, p.Name)
		default:
			sound = append(sound, p.Name)
			if p.Domain == domain {
				near = append(near, p.Name)
			}
		}
	}
	choices := sound
	switch {
	case 2*len(near) > inDomain:
		choices = near
	case len(sound) == 0:
		choices = slow
	}
	if len(choices) == 0 {
		return ""
	}
	return choices[random.IntN(len(choices))]
}
