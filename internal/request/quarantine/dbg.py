p='load_test.go'
s=open(p).read()
s=s.replace('''		p.arrive(now)
''','''		if at%(clock.Second) == 0 && at > calmTime {
			for _, vm := range []int{0, 4} {
				var a []*fleetpb.PartRecord
				a = p.guards[vm].All()
				slices.SortFunc(a, func(x, y *fleetpb.PartRecord) int { return len(y.Crashes) - len(x.Crashes) })
				out := fmt.Sprint(at, " vm ", vm, ":")
				for i, r := range a {
					bad := len(r.Part) > 3 && r.Part[:3] == "bad"
					if i < 6 || bad || r.Spans > 0 {
						out += fmt.Sprintf(" %s c%d s%d a%d q%d;", r.Part[:min(8, len(r.Part))], len(r.Crashes), r.Sent, r.Alive, r.Spans)
					}
				}
				c := []int{}
				for _, h := range p.harmful {
					c = append(c, h.crashes)
				}
				fmt.Println(out, c)
			}
		}
		p.arrive(now)
''')
open(p,'w').write(s)
