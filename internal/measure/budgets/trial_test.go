package budgets
import ("os";"testing")
func TestTrial(t *testing.T){ if err:=Run(os.Stdout,1);err!=nil{t.Fatal(err)} }
